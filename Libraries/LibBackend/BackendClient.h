// Client for one backend server, with a pool of connections.
#pragma once

#include <LibBackend/HttpExchange.h>
#include <LibRouter/LibRouter.h>

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <mutex>
#include <vector>

namespace Goldcrestwall {

// Protocol fields sent with a request to the server.
struct BackendCall
{
    // Identifies the exchange; the server repeats it in its response.
    std::string correlation_;
    FencingToken token_ = 0;
    // Boot identifier of the server for which the request is intended; empty for any.
    std::string bootId_;
    RequestId id_;
    std::string key_;
    // Time-out of the exchange.
    Duration timeout_{};
    // The end of the time-out as wall-clock time, so that a server that was suspended rejects the request after it resumes.
    UnixMilliseconds deadline_ = 0;

    auto operator<=>(const BackendCall &) const = default;
};

// The result of a request to the server.
struct BackendReply
{
    AttemptResult result_ = AttemptResult::Lost;
    ServerContact contact_;
    // Complete if the result is Answered.
    HttpResponseContent answer_;
};

// The result of a grant, a probe or a cancellation.
struct ControlReply
{
    bool isAnswered_ = false;
    // Whether the server responded with status 200, that is, accepted the token or confirmed the cancellation.
    bool isAccepted_ = false;
    std::uint32_t running_ = 0;
    ServerContact contact_;

    auto operator<=>(const ControlReply &) const = default;
};

// Makes blocking calls to one server over pooled HTTP connections. Thread-safe. A connection on which an error occurred or a response
// is still outstanding is closed and not reused.
class BackendClient
{
public:
    BackendClient(std::string address, std::uint32_t maxConnections);

    BackendReply send(const HttpRequestContent &request, const BackendCall &call);

    // Grants a fencing token, below which the server must reject requests. The reply says how many requests the server runs.
    ControlReply grant(FencingToken token, Duration timeout);
    // Checks whether the server responds, on a new connection, because a pooled one may have failed while the server is healthy.
    ControlReply probe(Duration timeout);
    // Asks the server to cancel a request that has not started. Returns whether the server confirmed that the request will not run.
    bool cancel(const std::string &correlation, Duration timeout);

private:
    using Session = Poco::Net::HTTPClientSession;

    struct PooledSession
    {
        std::unique_ptr<Session> session_;
        TimePoint idleSince_;
    };

    // A connection from the pool, or a new one; null if the pool is exhausted.
    struct AcquiredSession
    {
        std::unique_ptr<Session> session_;
        bool isNew_ = false;
    };

    AcquiredSession acquire(TimePoint now);
    void release(std::unique_ptr<Session> session, TimePoint now);
    static ControlReply exchange(Session &session, const std::string &path, const std::vector<HeaderField> &headers);
    ControlReply control(const std::string &path, const std::vector<HeaderField> &headers, Duration timeout);

    std::string address_;
    std::uint32_t maxConnections_;
    std::mutex mutex_;
    std::vector<PooledSession> idle_;
    std::uint32_t openCount_ = 0;
};

} // namespace Goldcrestwall
