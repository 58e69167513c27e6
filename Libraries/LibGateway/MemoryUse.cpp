// Reads the process's resident memory and reports it with its holders.
#include "MemoryUse.h"

#include <unistd.h>

#include <fstream>

namespace Goldcrestwall::Gateway {

namespace {

// A line each time the resident memory has grown by this part of the limit.
constexpr std::uint64_t LinesPerLimit = 16;

} // namespace

std::uint64_t readResidentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (!(file >> totalPages >> residentPages)) {
        return 0;
    }
    return residentPages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

void setMemoryGauges(MetricRegistry &metrics, const MemoryUse &use)
{
    const auto setBytes = [&metrics](const char *holder, std::uint64_t bytes) {
        metrics.setGauge("goldcrestwall_memory_bytes", {{"holder", holder}}, static_cast<double>(bytes));
    };
    setBytes("bodies", use.bodyBytes_);
    setBytes("caller-input", use.callerInputBytes_);
    setBytes("peer-output", use.peerOutputBytes_);
    setBytes("peer-input", use.peerInputBytes_);
    setBytes("view", use.viewBytes_);
    setBytes("log", use.logBytes_);
    metrics.setGauge("goldcrestwall_resident_bytes", {}, static_cast<double>(use.residentBytes_));
    metrics.setGauge("goldcrestwall_caller_connections", {}, static_cast<double>(use.callerConnections_));
    metrics.setGauge("goldcrestwall_peer_connections", {}, static_cast<double>(use.peerConnections_));
    metrics.setGauge("goldcrestwall_waiting_requests", {}, static_cast<double>(use.waitingRequests_));
}

bool MemoryLog::isDue(std::uint64_t residentBytes, std::uint64_t limitBytes)
{
    if (residentBytes < loggedBytes_ + limitBytes / LinesPerLimit) {
        return false;
    }
    loggedBytes_ = residentBytes;
    return true;
}

LogLine makeMemoryLine(const MemoryUse &use, std::uint64_t limitBytes)
{
    LogLine line("memory");
    line.add("resident", use.residentBytes_)
        .add("limit", limitBytes)
        .add("bodies", use.bodyBytes_)
        .add("callerInput", use.callerInputBytes_)
        .add("peerOutput", use.peerOutputBytes_)
        .add("peerInput", use.peerInputBytes_)
        .add("view", use.viewBytes_)
        .add("log", use.logBytes_)
        .add("callerConnections", use.callerConnections_)
        .add("peerConnections", use.peerConnections_)
        .add("requests", use.requestsInProgress_)
        .add("waiting", use.waitingRequests_);
    return line;
}

} // namespace Goldcrestwall::Gateway
