// A test stand-in for a backend server that owns keys. It has slots, a cold start and fencing tokens, simulates faults and logs the
// requests that it ran.
#pragma once

#include <LibBase/LibBase.h>
#include <StandIns/RequestHandlers.h>

#include <Poco/Net/HTTPServer.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace Goldcrestwall {

// The capacity and timing of a server.
struct BackendBehaviour
{
    std::uint32_t slots_ = 2;
    std::uint32_t connections_ = 120;
    // How many concurrent requests it can handle while it is cold, and after how many requests it is warm.
    std::uint32_t coldSlots_ = 1;
    std::uint32_t warmupRequests_ = 20;
    Duration serviceTime_ = 1ms;
    bool checksTokens_ = true;

    auto operator<=>(const BackendBehaviour &) const = default;
};

// The faults that a server can simulate.
enum class BackendFault {
    None,
    // Processes nothing until the fault is cleared, then continues, like a process that was suspended.
    Suspended,
    // Closes connections before the announced length of a response.
    Truncates,
    // Runs requests but never responds.
    Unresponsive,
    // Sends the correlation id of the previous response.
    OutOfOrder,
    // Takes ten times as long for each request.
    RespondsSlowly,
    // Rejects requests because it is draining.
    Draining,
    // Rejects requests because of overload.
    Sheds,
    // Runs requests and responds with a field whose name has a blank.
    SendsOddFieldName,
};

// A request that was run.
struct ExecutionEntry
{
    std::string requestId_;
    std::string correlation_;
    std::string key_;
    FencingToken token_ = 0;
    UnixMilliseconds startedAt_ = 0;
    UnixMilliseconds endedAt_ = 0;

    auto operator<=>(const ExecutionEntry &) const = default;
};

// Serves any path. The response contains the server's name, the key and a counter for the key, so that tests can detect a response
// that is stale or belongs to another request. Thread-safe.
class BackendStandIn
{
public:
    BackendStandIn(std::string name, std::uint16_t port, BackendBehaviour behaviour);
    ~BackendStandIn();
    BackendStandIn(const BackendStandIn &) = delete;
    BackendStandIn &operator=(const BackendStandIn &) = delete;

    const std::string &name() const
    {
        return name_;
    }
    std::string address() const;
    void setFault(BackendFault fault);
    // Simulates a restart: the server is cold, has no tokens and no keys, and gets a new boot id.
    void restart();

    std::vector<ExecutionEntry> log() const;
    // The highest number of concurrent requests while the server was cold, and how often that number exceeded its cold slots.
    std::uint32_t coldPeak() const;
    std::uint32_t overloadCount() const;

    // Called by the HTTP request handler.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    // Returns the reason to reject a request, as sent in the Goldcrestwall-Refused header; empty if it may run.
    std::string admit(const Poco::Net::HTTPServerRequest &request);
    void run(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body);
    void grant(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void cancel(const Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void waitWhileSuspended();
    void setStatusHeaders(Poco::Net::HTTPServerResponse &response);

    std::string name_;
    BackendBehaviour behaviour_;
    mutable std::mutex mutex_;
    std::condition_variable resumed_;
    BackendFault fault_ = BackendFault::None;
    std::string bootId_;
    FencingToken highestToken_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t served_ = 0;
    std::uint32_t coldPeak_ = 0;
    std::uint32_t overloadCount_ = 0;
    TimePoint overloadedUntil_;
    std::map<std::string, std::uint64_t> counters_;
    std::set<std::string> cancelledCorrelations_;
    std::set<std::string> startedCorrelations_;
    std::string lastCorrelation_;
    std::vector<ExecutionEntry> log_;
    std::shared_ptr<RunningRequests> runningRequests_ = std::make_shared<RunningRequests>();
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Goldcrestwall
