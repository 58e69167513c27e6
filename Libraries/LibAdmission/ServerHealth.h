// Judges whether a backend server is lost, from its dispatcher's own contacts.
#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <string>

namespace Goldcrestwall {

// The time parameters of the judgement.
struct HealthCheckSettings
{
    // How often an idle server is probed, and how long a probe may take.
    Duration probeInterval_ = 250ms;
    Duration probeTimeout_ = 250ms;
    // A server is lost after this long without any successful contact...
    Duration lostAfter_ = 750ms;
    // ...and at least this many failed ones, so that a pause of the dispatcher itself is not held against the server.
    std::uint32_t minimumFailures_ = 2;

    auto operator<=>(const HealthCheckSettings &) const = default;
};

// A fresh look at a server: what the answer to a contact said about it.
struct ServerContact
{
    // Changes with each start of the server; empty if unknown.
    std::string bootId_;
    bool isDraining_ = false;

    auto operator<=>(const ServerContact &) const = default;
};

// What a contact revealed.
enum class HealthChange {
    None,
    // The server was lost and is back; it must be treated as cold.
    Recovered,
    // The server has restarted without warning.
    Restarted,
};

// The server's own health reports lag or mislead, so only the outcome of contacts counts.
class ServerHealth
{
public:
    ServerHealth(HealthCheckSettings settings, TimePoint now);

    // A contact that began at `startedAt` succeeded.
    HealthChange recordSuccess(const ServerContact &contact, TimePoint startedAt, TimePoint now);
    void recordFailure(TimePoint now);

    bool isLost() const
    {
        return isLost_;
    }
    // Adopts the boot identity that another dispatcher has seen last.
    void setBootId(std::string bootId)
    {
        bootId_ = std::move(bootId);
    }
    // The boot identity seen last; empty if none was.
    const std::string &bootId() const
    {
        return bootId_;
    }
    bool isDraining() const
    {
        return isDraining_;
    }
    // When the next probe is due.
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
