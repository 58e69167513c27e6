// A stand-in for a backend server of the platform, by its published protocol, with faults and a record of what it ran.
#pragma once

#include <StandIns/PlatformStoreStandIn.h>

#include <set>
#include <vector>

namespace Goldcrestwall {

// How a server behaves.
struct PlatformServerBehaviour
{
    std::string service_;
    std::string domain_ = "north";
    std::uint32_t slots_ = 2;
    std::uint32_t queue_ = 8;
    Duration serviceTime_ = 5ms;
    // Requests a second that it bears while it is cold; no bound when it is 0.
    double warmupLimiter_ = 0;
    Duration warmupTime_ = Duration::zero();
    bool isSharded_ = false;
    // Grants for a longer time are refused.
    Duration maxHoldTime_ = 10s;

    auto operator<=>(const PlatformServerBehaviour &) const = default;
};

// What is wrong with a server.
enum class PlatformServerFault {
    None,
    // Rejects all requests as not run.
    Sheds,
    // Runs a request and resets the connection.
    LosesAnswers,
    // Ends an answer before its announced length.
    Truncates,
    // Sends bytes that are no answer.
    SendsMalformedBytes,
    // Sends a second answer after each.
    SendsTwoResponses,
    // Sends an answer to another request first.
    SendsOtherResponseFirst,
    // Leaves the signature out.
    OmitsSignature,
    // Runs requests and never answers.
    Silent,
    // Applies grants late and does not answer them.
    GrantsLate,
    // Closes connections after each answer without saying so.
    ClosesConnections,
    // Sends a head without an end until the connection is closed.
    EndlessHeaders,
    // Sends a body in chunks without an end until the connection is closed.
    EndlessBody,
    // Answers only when another request has begun at any server, in pairs.
    RespondsInPairs,
    // Sends a second copy of each answer just before the next one on the connection.
    RepeatsPreviousResponse,
};

// One request that a server began to run.
struct PlatformRun
{
    std::string requestId_;
    std::string server_;
    std::string method_;
    std::string path_;
    std::string body_;

    auto operator<=>(const PlatformRun &) const = default;
};

// What all servers of a deployment have run and what went wrong there. Thread-safe.
class PlatformRunRecorder
{
public:
    // Returns how many runs there are now.
    std::size_t recordRun(PlatformRun run);
    std::size_t runCount() const;
    void recordViolation(std::string what);
    std::vector<PlatformRun> runs() const;
    std::size_t runsOf(const std::string &requestId) const;
    std::vector<std::string> violations() const;

private:
    mutable std::mutex mutex_;
    std::vector<PlatformRun> runs_;
    std::vector<std::string> violations_;
};

// Serves any path. Thread-safe.
class PlatformServerStandIn
{
public:
    PlatformServerStandIn(std::string id, PlatformServerBehaviour behaviour, PlatformStoreStandIn &store, PlatformRunRecorder &recorder);
    ~PlatformServerStandIn();
    PlatformServerStandIn(const PlatformServerStandIn &) = delete;
    PlatformServerStandIn &operator=(const PlatformServerStandIn &) = delete;

    const std::string &id() const
    {
        return id_;
    }
    std::string address() const;
    // Writes the entry in the store.
    void registerEntry(const std::string &state = "ready");
    void removeEntry();
    void setFault(PlatformServerFault fault);
    // Starts anew under the same id: holds nothing, and is cold.
    void restart();
    // Whether it holds the key now.
    bool holds(std::uint32_t key) const;
    std::size_t healthCount() const
    {
        return healthCount_;
    }

    // Answers without an end that the other side has cut off.
    std::size_t closedEndlessCount() const
    {
        return closedEndlessCount_;
    }

    // Servers of the same service, among which a key may have one holder only.
    void setSiblings(std::vector<PlatformServerStandIn *> siblings);

    // Exposed for the handler.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    struct Hold
    {
        std::uint32_t first_ = 0;
        std::uint32_t last_ = 0;
        std::uint64_t token_ = 0;
        TimePoint until_;
    };

    void grant(const std::string &body, Poco::Net::HTTPServerResponse &response);
    void release(const std::string &body, Poco::Net::HTTPServerResponse &response);
    bool isRejected(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void run(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body);
    void sendWithPreviousResponse(Poco::Net::HTTPServerRequest &request, const std::string &answer);
    // Sends the head and then the filler again and again until the connection is closed.
    void sendEndless(Poco::Net::HTTPServerRequest &request, const std::string &head, const std::string &filler);
    void sendRaw(Poco::Net::HTTPServerRequest &request, const std::string &bytes, bool isReset);
    void reject(Poco::Net::HTTPServerResponse &response, int status) const;
    std::string load() const;
    bool holdsLocked(std::uint32_t key) const;

    std::string id_;
    PlatformServerBehaviour behaviour_;
    PlatformStoreStandIn &store_;
    PlatformRunRecorder &recorder_;
    std::vector<PlatformServerStandIn *> siblings_;
    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    PlatformServerFault fault_ = PlatformServerFault::None;
    std::uint32_t running_ = 0;
    // Runs at all servers when the fault began.
    std::size_t runsBeforeFault_ = 0;
    // The last answer of each connection, by its port at the other side.
    std::map<std::uint16_t, std::string> lastResponses_;
    std::uint32_t waiting_ = 0;
    std::int64_t startTime_ = 0;
    std::uint64_t sequence_ = 0;
    TimePoint coldUntil_;
    std::deque<TimePoint> recentColdArrivals_;
    std::vector<Hold> holds_;
    std::uint64_t highestToken_ = 0;
    std::atomic<std::size_t> healthCount_ = 0;
    std::atomic<std::size_t> closedEndlessCount_ = 0;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Goldcrestwall
