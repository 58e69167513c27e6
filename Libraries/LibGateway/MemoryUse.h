// The memory of the process by holder.
#pragma once

#include <LibGateway/EventLog.h>

#include <LibMetrics/LibMetrics.h>

#include <cstdint>

namespace Goldcrestwall::Gateway {

// Bytes by holder at one moment, and the counts that explain them.
struct MemoryUse
{
    // Resident memory of the process; 0 if the system does not tell.
    std::uint64_t residentBytes_ = 0;
    // Reserved for the bodies of requests and responses.
    std::uint64_t bodyBytes_ = 0;
    // Received from callers and not parsed.
    std::uint64_t callerInputBytes_ = 0;
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

} // namespace Goldcrestwall::Gateway
