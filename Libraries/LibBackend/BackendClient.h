// A pool of connections to one backend server.
#pragma once

#include <LibBackend/HttpExchange.h>
#include <LibRouter/LibRouter.h>

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <mutex>
#include <vector>

namespace Goldcrestwall {

// What goes with a request to the server.
struct BackendCall
{
    // Identifies the exchange; the server repeats it in its answer.
    std::string correlation_;
    FencingToken token_ = 0;
    // The boot of the server that the request is meant for; empty for any.
    std::string bootId_;
    RequestId id_;
    std::string key_;
    // How long the server may take from now on.
    Duration timeout_{};
    // The same moment on the civil clock, for a server that is frozen and returns.
    UnixMilliseconds deadline_ = 0;

    auto operator<=>(const BackendCall &) const = default;
};

// How a request to the server ended.
struct BackendReply
{
    AttemptResult result_ = AttemptResult::Lost;
    ServerContact contact_;
    // Set when the result is Answered or Failed.
    HttpResponseContent answer_;
};

// The answer to a grant or a probe.
struct ControlReply
{
    bool isAnswered_ = false;
    // The server accepts the token.
    bool isAccepted_ = false;
    std::uint32_t running_ = 0;
    ServerContact contact_;

    auto operator<=>(const ControlReply &) const = default;
};

// Makes blocking calls to one server over pooled HTTP connections. Thread-safe. A connection on which anything went wrong, or on
// which an answer is still due, is closed and never used again.
class BackendClient
{
public:
    BackendClient(std::string address, std::uint32_t maxConnections);

    BackendReply send(const HttpRequestContent &request, const BackendCall &call);

    // Tells the server that work now comes with this token, and learns how much it runs.
    ControlReply grant(FencingToken token, Duration timeout);
    // Asks for a sign of life on a connection of its own, because a pooled one may be silent for reasons that are not the server's.
    ControlReply probe(Duration timeout);
    // Asks the server to drop a request that it has not begun; returns whether it confirmed that the request will not run.
    bool cancel(const std::string &correlation, Duration timeout);

private:
    using Session = Poco::Net::HTTPClientSession;

    struct PooledSession
    {
        std::unique_ptr<Session> session_;
        TimePoint idleSince_;
    };

    // An open connection, and whether it is a new one.
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
