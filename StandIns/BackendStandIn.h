// A stand-in for a backend server that owns keys: slots, cold start, fencing, faults, and a log of what it really ran.
#pragma once

#include <LibBase/LibBase.h>

#include <Poco/Net/HTTPServer.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace Goldcrestwall {

// How a stand-in behaves.
struct BackendBehaviour
{
    std::uint32_t slots_ = 2;
    std::uint32_t connections_ = 120;
    // How much it bears while it is cold, and after how many requests it is warm.
    std::uint32_t coldSlots_ = 1;
    std::uint32_t warmupRequests_ = 20;
    Duration serviceTime_ = 1ms;
    bool checksTokens_ = true;

    auto operator<=>(const BackendBehaviour &) const = default;
};

// What is wrong with a stand-in.
enum class BackendFault {
    None,
    // Stops for a while and then goes on as if nothing had happened.
    Suspended,
    // Ends answers before their announced length.
    Truncates,
    // Runs requests and never answers.
    Silent,
    // Repeats the previous answer's correlation.
    OutOfOrder,
    // Is ten times slower.
    RespondsSlowly,
    // Refuses new work because it drains.
    Draining,
    // Refuses all work because it has too much.
    Sheds,
};

// One request that was run.
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

// Serves any path. The answer names the server, the key and a counter per key, so that a wrong or stale answer shows. Thread-safe.
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
    // Forgets its warmth, its tokens and its keys, and gets a new boot identity.
    void restart();

    std::vector<ExecutionEntry> log() const;
    // The most requests that ran at once while it was cold, and how often it bore too much.
    std::uint32_t coldPeak() const;
    std::uint32_t overloadCount() const;

    // Exposed for the handler.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    // Whether a request may run; otherwise the refusal for the header.
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
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Goldcrestwall
