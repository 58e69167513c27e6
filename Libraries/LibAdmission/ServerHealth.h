// Failure detection for one backend server, based on its dispatcher's own requests and probes.
#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <string>

namespace Goldcrestwall {

// Settings of the failure detection.
struct HealthCheckSettings
{
    // Interval between probes, and the time-out of one probe.
    Duration probeInterval_ = 250ms;
    Duration probeTimeout_ = 250ms;
    // A server is lost after this long without a successful contact and at least `minimumFailures_` failed ones. The minimum keeps a
    // suspended dispatcher from marking a server as lost.
    Duration lostAfter_ = 750ms;
    std::uint32_t minimumFailures_ = 2;

    auto operator<=>(const HealthCheckSettings &) const = default;
};

// What the response to a request or probe says about the server.
struct ServerContact
{
    // Boot identifier, different for each start of the server; empty if unknown.
    std::string bootId_;
    bool isDraining_ = false;

    auto operator<=>(const ServerContact &) const = default;
};

// Change of state found by a successful contact.
enum class HealthChange {
    None,
    // The server was lost and responds again; it must be treated as cold.
    Recovered,
    // The server has restarted since the last contact.
    Restarted,
};

// Tracks whether a server is lost. Health reported by the server itself may be stale or wrong, so only the outcome of contacts
// counts.
class ServerHealth
{
public:
    ServerHealth(HealthCheckSettings settings, TimePoint now);

    // A contact started at `startedAt` succeeded.
    HealthChange recordSuccess(const ServerContact &contact, TimePoint startedAt, TimePoint now);
    void recordFailure(TimePoint now);

    bool isLost() const
    {
        return isLost_;
    }
    // Adopts the last boot identifier seen by the previous dispatcher.
    void setBootId(std::string bootId)
    {
        bootId_ = std::move(bootId);
    }
    // The last boot identifier seen; empty if none was.
    const std::string &bootId() const
    {
        return bootId_;
    }
    bool isDraining() const
    {
        return isDraining_;
    }
    // Whether the next probe is due.
    bool isProbeDue(TimePoint now) const
    {
        return now >= nextProbeAt_;
    }
    void recordProbeStarted(TimePoint now)
    {
        nextProbeAt_ = now + settings_.probeInterval_;
    }
    const HealthCheckSettings &settings() const
    {
        return settings_;
    }

private:
    HealthCheckSettings settings_;
    TimePoint lastSuccess_;
    TimePoint nextProbeAt_;
    std::uint32_t failures_ = 0;
    bool isLost_ = false;
    bool isDraining_ = false;
    std::string bootId_;
};

} // namespace Goldcrestwall
