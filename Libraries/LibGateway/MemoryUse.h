// The memory of the process by holder.
#pragma once

#include <LibGateway/EventLog.h>

#include <LibHttp/LibHttp.h>
#include <LibMetrics/LibMetrics.h>

#include <cstdint>

namespace Goldcrestwall::Gateway {

// Bytes by holder at one moment, and the counts that explain them.
struct MemoryUse
{
    // Resident memory of the process; 0 if the system does not tell.
    std::uint64_t residentBytes_ = 0;
    // Reserved in the account for each holder, by `MemoryHolder`.
    std::array<std::uint64_t, MemoryHolderCount> reservedBytes_{};
    // How often each holder was refused memory since the start, by `MemoryHolder`.
    std::array<std::uint64_t, MemoryHolderCount> refusals_{};
    // The highest sum of all reservations since the start, and the sum that is never exceeded.
    std::uint64_t reservedPeakBytes_ = 0;
    std::uint64_t capacityBytes_ = 0;
    // Waiting to be sent to other instances.
    std::uint64_t peerOutputBytes_ = 0;
    // Received from other instances and not parsed.
    std::uint64_t peerInputBytes_ = 0;
    // Values and keys of the store's items.
    std::uint64_t viewBytes_ = 0;
    std::uint64_t logBytes_ = 0;
    std::uint64_t callerConnections_ = 0;
    std::uint64_t peerConnections_ = 0;
    std::uint64_t requestsInProgress_ = 0;
    // Requests of all instances that wait at this one for a server.
    std::uint64_t waitingRequests_ = 0;

    // Copies the figures of the account.
    void setAccount(const MemoryAccount &account);

    auto operator<=>(const MemoryUse &) const = default;
};

// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
std::uint64_t readResidentBytes();

void setMemoryGauges(MetricRegistry &metrics, const MemoryUse &use);

// Decides when the memory use is worth a log line: each time the resident memory has grown by a sixteenth of the limit since the last line.
class MemoryLog
{
public:
    // Returns whether `residentBytes` is to be logged.
    bool isDue(std::uint64_t residentBytes, std::uint64_t limitBytes);

private:
    std::uint64_t loggedBytes_ = 0;
};

LogLine makeMemoryLine(const MemoryUse &use, std::uint64_t limitBytes);
// The line for a connection or request that is lost because `holder` was refused memory.
LogLine makeRefusalLine(const MemoryAccount &account, MemoryHolder holder);

} // namespace Goldcrestwall::Gateway
