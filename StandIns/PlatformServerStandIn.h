// A test stand-in for a backend server of the platform. It follows the platform's published protocol, simulates faults and records
// the requests that it ran.
#pragma once

#include <StandIns/KeyTokens.h>
#include <StandIns/LimitMeter.h>
#include <StandIns/PlatformStoreStandIn.h>
#include <StandIns/RequestHandlers.h>

#include <optional>
#include <set>
#include <vector>

namespace Goldcrestwall {

// The capacity and timing of a server.
struct PlatformServerBehaviour
{
    std::string service_;
    std::string domain_ = "north";
    std::uint32_t slots_ = 2;
    std::uint32_t queue_ = 8;
    Duration serviceTime_ = 5ms;
    // Requests per second that it can handle while it is cold; 0 means no limit.
    double warmupLimiter_ = 0;
    Duration warmupTime_ = Duration::zero();
    bool isSharded_ = false;
    // Grants for a longer time are rejected.
    Duration maxHoldTime_ = 10s;

    auto operator<=>(const PlatformServerBehaviour &) const = default;
};

// The faults that a server can simulate.
enum class PlatformServerFault {
    None,
    // Rejects all requests and states that they did not run.
    Sheds,
    // Runs a request, then resets the connection.
    LosesAnswers,
    // Closes the connection before the announced length of a response.
    Truncates,
    // Sends bytes that are not an HTTP response.
    SendsMalformedBytes,
    // Sends a second response after each response.
    SendsTwoResponses,
    // Sends a response to another request first.
    SendsOtherResponseFirst,
    // Omits the signature header.
    OmitsSignature,
    // Runs requests but never responds.
    Unresponsive,
    // Applies grants and responds to them only after a delay.
    GrantsLate,
    // Like GrantsLate, and sends a copy of the previous response to a grant or a release on the connection at once.
    GrantsLateAfterCopies,
    // Resets the connection when it is asked to release keys, and keeps them.
    IgnoresReleases,
    // Closes the connection after each response without announcing it in a header.
    ClosesConnections,
    // Sends response headers without end until the connection is closed.
    EndlessHeaders,
    // Sends a chunked response body without end until the connection is closed.
    EndlessBody,
    // Responds to requests in pairs: the first request waits until another one has started at any server.
    RespondsInPairs,
    // Sends a copy of the previous response on the connection right before each response.
    RepeatsPreviousResponse,
    // Rejects each request once, at the first server with this fault that it reaches. When a request comes on the connection of a rejection, sends that
    // rejection once more and runs the request.
    RepeatsRejections,
    // As RepeatsRejections, but sends the rejection twice more.
    RepeatsRejectionsTwice,
    // As RepeatsRejections, but sends the rejection in two parts with a pause between them.
    RepeatsRejectionsInParts,
    // Rejects each request once and sends the rejection once more a little later, while the connection is idle.
    RepeatsRejectionsEarly,
    // Runs requests and responds with the status of a misdirected request, without stating that they did not run.
    MisdirectsWithoutStatement,
    // Runs requests; from the second response of a connection on, sends a rejection that names no request right before each.
    SendsUnnamedRejections,
};

// When a server sends a response of given bytes, and what becomes of the connection.
enum class RawResponseTiming {
    // After the request has run. The connection stays open.
    AfterRun,
    // As AfterRun, and the connection is closed in an orderly way.
    AfterRunThenClose,
    // When the request has begun to run, before its body has been read. The connection is reset soon after.
    DuringUpload,
};

// A response that is sent as it is, in place of a server's own.
struct RawResponse
{
    // "{id}" stands for the id of the request, or of the server if the request has none.
    std::string bytes_;
    RawResponseTiming timing_ = RawResponseTiming::AfterRun;

    auto operator<=>(const RawResponse &) const = default;
};

// A request that a server started to run.
struct PlatformRun
{
    std::string requestId_;
    std::string server_;
    std::string method_;
    std::string path_;
    std::string body_;
    TimePoint at_ = {};

    auto operator<=>(const PlatformRun &) const = default;
};

// A request that reached a server, whether it ran or not, unless the server rejected it as misdirected.
struct PlatformArrival
{
    std::string requestId_;
    std::string server_;
    TimePoint at_;

    auto operator<=>(const PlatformArrival &) const = default;
};

// A range of keys that a server holds, both ends included.
struct PlatformHold
{
    std::uint32_t first_ = 0;
    std::uint32_t last_ = 0;
    std::uint64_t token_ = 0;
    TimePoint until_;

    auto operator<=>(const PlatformHold &) const = default;
};

// What a server holds from a time on, after a grant, a release or a restart.
struct PlatformHoldings
{
    std::string server_;
    TimePoint at_;
    std::vector<PlatformHold> holds_;

    auto operator<=>(const PlatformHoldings &) const = default;
};

// Records the requests that all servers of a deployment have run, and violations of the guarantees. Thread-safe.
class PlatformRunRecorder
{
public:
    // Returns the number of runs so far.
    std::size_t recordRun(PlatformRun run);
    std::size_t runCount() const;
    void recordViolation(std::string what);
    std::vector<PlatformRun> runs() const;
    // Records that a server rejects a request; returns whether it is the first rejection.
    bool recordRejection(const std::string &requestId);
    std::size_t runsOf(const std::string &requestId) const;
    std::vector<std::string> violations() const;
    void recordArrival(PlatformArrival arrival);
    std::vector<PlatformArrival> arrivals() const;
    void recordHoldings(PlatformHoldings holdings);
    std::vector<PlatformHoldings> holdings() const;
    // Records that a run of a server takes keys by a grant. It is a violation if the token is not above all with which other servers of the
    // service, or other runs of this one, had any of these keys, unless the same grant is repeated.
    void recordTakenKeys(const std::string &service, const std::string &holder, const PlatformHold &hold);

private:
    mutable std::mutex mutex_;
    std::vector<PlatformRun> runs_;
    std::vector<PlatformArrival> arrivals_;
    std::vector<PlatformHoldings> holdings_;
    std::map<std::string, TakenTokens> takenTokens_;
    std::set<std::string> rejectedOnce_;
    std::vector<std::string> violations_;
};

// Serves any path. Thread-safe.
class PlatformServerStandIn
{
public:
    PlatformServerStandIn(std::string id, PlatformServerBehaviour behaviour, PlatformStoreStandIn &store, PlatformRunRecorder &recorder);
    // Stops the server.
    ~PlatformServerStandIn();
    PlatformServerStandIn(const PlatformServerStandIn &) = delete;
    PlatformServerStandIn &operator=(const PlatformServerStandIn &) = delete;

    // Accepts no further requests, and waits until those that are running have ended.
    void stop();
    const std::string &id() const
    {
        return id_;
    }
    const std::string &domain() const
    {
        return behaviour_.domain_;
    }
    std::string address() const;
    // Start of the current run in Unix milliseconds, as in the server's entry.
    std::int64_t startTime() const;
    // From now on the server's entry names this address, at which something passes requests on to the server.
    void setRegisteredAddress(std::string address);
    // Writes the server's entry to the store.
    void registerEntry(const std::string &state = "ready");
    // Writes the server's entry again in its present state, unless it was never written or has been removed.
    void rewriteEntry();
    void removeEntry();
    void setFault(PlatformServerFault fault);
    // From now on each response has the header that says whether the server is leaving, with this value; without it if the value is empty.
    void setLeavingHeader(std::string value);
    // From now on requests and health checks are rejected with this value of Retry-After; no longer if the value is empty.
    void setRetryAfter(std::string value);
    // From now on each response names this limit, and more requests than it allows are a violation; no longer if the value is empty. A
    // value that is no number is named as it is.
    void setLimit(const std::string &value);
    // From now on responses to requests, grants, releases and health checks have this status, as it is, and their connections stay open; the
    // true status again if the value is empty.
    void setStatus(std::string value);
    // From now on requests, grants, releases and health checks get this response; the server's own again if there is none.
    void setRawResponse(std::optional<RawResponse> response);
    // Simulates a restart under the same id: the server holds no keys and is cold.
    void restart();
    // Whether the server holds the key at present.
    bool holds(std::uint32_t key) const;
    std::size_t healthCount() const
    {
        return healthCount_;
    }
    // Number of requests with an id that reached the server, whether they ran or not.
    std::size_t arrivalCount() const
    {
        return arrivalCount_;
    }

    // Number of grants that have reached the server.
    std::size_t grantCount() const
    {
        return grantCount_;
    }
    // Number of grants that were applied late or are going to be.
    std::size_t lateGrantCount() const
    {
        return lateGrantCount_;
    }
    // Number of endless responses that the peer has ended by closing the connection.
    std::size_t closedEndlessCount() const
    {
        return closedEndlessCount_;
    }

    // The servers of the same service. At most one of them may hold a key at a time.
    void setSiblings(std::vector<PlatformServerStandIn *> siblings);

    // Called by the HTTP request handler.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    using Hold = PlatformHold;

    void grant(Poco::Net::HTTPServerRequest &request, const std::string &body, Poco::Net::HTTPServerResponse &response);
    void release(Poco::Net::HTTPServerRequest &request, const std::string &body, Poco::Net::HTTPServerResponse &response);
    bool isRejected(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    // Call with the entry's mutex locked.
    void writeEntry(const std::string &state);
    void run(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body);
    // Rejects the request if it is its first arrival. Otherwise sends the last rejection on the connection once more, as the fault says.
    bool isRejectedOnce(Poco::Net::HTTPServerRequest &request, PlatformServerFault fault);
    void sendAfterUnnamedRejection(Poco::Net::HTTPServerRequest &request, const std::string &answer);
    void sendWithPreviousResponse(Poco::Net::HTTPServerRequest &request, const std::string &answer);
    // Sends the response to a grant or a release and keeps it for a copy.
    void respondToShardCall(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    // Sends a copy of the previous response to a grant or a release on the connection, if there is one.
    void sendPreviousShardCallResponse(Poco::Net::HTTPServerRequest &request);
    // Sends `head` once, then `filler` repeatedly until the connection is closed or the fault is cleared.
    void sendEndless(Poco::Net::HTTPServerRequest &request, const std::string &head, const std::string &filler);
    void sendRaw(Poco::Net::HTTPServerRequest &request, const std::string &bytes, bool isReset);
    // Sends the response, with the status or the bytes that have been set for all.
    void sendResponse(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body);
    std::optional<RawResponse> rawResponse() const;
    // Sends the bytes that have been set for all; returns whether there are any.
    bool sendRawResponse(Poco::Net::HTTPServerRequest &request);
    // Runs a request without reading its body, if the response that has been set is sent then; returns whether that is so.
    bool respondDuringUpload(Poco::Net::HTTPServerRequest &request);
    void reject(const Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, int status) const;
    void checkHealth(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void setAnnouncementHeaders(Poco::Net::HTTPServerResponse &response) const;
    bool isLeftAlone() const;
    void recordArrival();
    bool hasFault(PlatformServerFault fault) const;
    std::string load() const;
    bool holdsLocked(std::uint32_t key) const;

    std::string id_;
    PlatformServerBehaviour behaviour_;
    PlatformStoreStandIn &store_;
    PlatformRunRecorder &recorder_;
    std::vector<PlatformServerStandIn *> siblings_;
    // Locked while the entry is written or removed, before the next.
    std::mutex entryMutex_;
    // The state in the entry; empty if the server has none.
    std::string registeredState_;
    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    PlatformServerFault fault_ = PlatformServerFault::None;
    mutable std::mutex announcementMutex_;
    std::string leavingHeader_;
    std::string retryAfter_;
    std::string limitHeader_;
    std::string status_;
    std::optional<RawResponse> rawResponse_;
    LimitMeter limitMeter_;
    std::uint32_t running_ = 0;
    // Number of runs at all servers when the fault was set.
    std::size_t runsBeforeFault_ = 0;
    // The last rejection on each connection, by the peer's port.
    std::map<std::uint16_t, std::string> lastRejections_;
    // The last response to a grant or a release on each connection, by the peer's port.
    std::map<std::uint16_t, std::string> lastShardCallResponses_;
    // The last response on each connection, by the peer's port.
    std::map<std::uint16_t, std::string> lastResponses_;
    std::uint32_t waiting_ = 0;
    std::int64_t startTime_ = 0;
    std::uint64_t sequence_ = 0;
    // The address in the entry if it is not the server's own.
    std::string registeredAddress_;
    TimePoint coldUntil_;
    std::deque<TimePoint> recentColdArrivals_;
    std::vector<Hold> holds_;
    // Of any grant or release that this run of the server has seen.
    KeyTokens seenTokens_;
    std::atomic<std::size_t> healthCount_ = 0;
    std::atomic<std::size_t> arrivalCount_ = 0;
    std::atomic<std::size_t> grantCount_ = 0;
    std::atomic<std::size_t> lateGrantCount_ = 0;
    std::atomic<std::size_t> closedEndlessCount_ = 0;
    std::shared_ptr<RunningRequests> runningRequests_ = std::make_shared<RunningRequests>();
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Goldcrestwall
