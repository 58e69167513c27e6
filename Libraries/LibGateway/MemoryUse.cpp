// Reads the process's resident memory and reports it with its holders.
#include "MemoryUse.h"

#include <unistd.h>

#include <fstream>

namespace Goldcrestwall::Gateway {

namespace {

// A line each time the resident memory has grown by this part of the limit.
constexpr std::uint64_t LinesPerLimit = 16;

// Leaves out holders without reservations.
nlohmann::ordered_json reservedByHolder(const std::array<std::uint64_t, MemoryHolderCount> &bytes)
{
    auto holders = nlohmann::ordered_json::object();
    for (std::size_t i = 0; i < MemoryHolderCount; ++i) {
        if (bytes.at(i) > 0) {
            holders[memoryHolderName(static_cast<MemoryHolder>(i))] = bytes.at(i);
        }
    }
    return holders;
}

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
    for (std::size_t i = 0; i < MemoryHolderCount; ++i) {
        const char *holder = memoryHolderName(static_cast<MemoryHolder>(i));
        setBytes(holder, use.reservedBytes_[i]);
        metrics.setGauge("goldcrestwall_memory_refusals", {{"holder", holder}}, static_cast<double>(use.refusals_[i]));
    }
    setBytes("peer-output", use.peerOutputBytes_);
    setBytes("peer-input", use.peerInputBytes_);
    setBytes("view", use.viewBytes_);
    setBytes("log", use.logBytes_);
    metrics.setGauge("goldcrestwall_resident_bytes", {}, static_cast<double>(use.residentBytes_));
    metrics.setGauge("goldcrestwall_memory_peak_bytes", {}, static_cast<double>(use.reservedPeakBytes_));
    metrics.setGauge("goldcrestwall_memory_capacity_bytes", {}, static_cast<double>(use.capacityBytes_));
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

void MemoryUse::setAccount(const MemoryAccount &account)
{
    for (std::size_t i = 0; i < MemoryHolderCount; ++i) {
        reservedBytes_[i] = account.reservedBy(static_cast<MemoryHolder>(i));
        refusals_[i] = account.refusals(static_cast<MemoryHolder>(i));
    }
    reservedPeakBytes_ = account.peak();
    capacityBytes_ = account.capacity();
}

LogLine makeRefusalLine(const MemoryAccount &account, MemoryHolder holder)
{
    LogLine line("memory-refused");
    line.add("holder", memoryHolderName(holder))
        .add("held", account.reservedBy(holder))
        .add("share", account.share(holder))
        .add("total", account.reserved())
        .add("ceiling", account.ceiling(holder))
        .add("refusals", account.refusals(holder));
    MemoryUse use;
    use.setAccount(account);
    return line.add("reserved", reservedByHolder(use.reservedBytes_));
}

LogLine makeMemoryLine(const MemoryUse &use, std::uint64_t limitBytes)
{
    LogLine line("memory");
    line.add("resident", use.residentBytes_)
        .add("limit", limitBytes)
        .add("capacity", use.capacityBytes_)
        .add("reservedPeak", use.reservedPeakBytes_)
        .add("reserved", reservedByHolder(use.reservedBytes_))
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
