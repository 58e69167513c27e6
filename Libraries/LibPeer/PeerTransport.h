// Message transport between instances over HTTP/2 streams.
#pragma once

#include <LibBase/LibBase.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Goldcrestwall {

// The kind of message on a stream.
enum class PeerChannel : std::uint8_t {
    // Control messages; the reply, if any, is a separate message.
    Control,
    // Requests to a dispatcher, answered on the same stream.
    Dispatch,
    // Request histories for the next dispatcher, acknowledged by an empty response.
    History,
    // Correlations of attempts to cancel.
    Cancel,
};

// The result of a call.
struct PeerReply
{
    // Set if a complete response arrived.
    std::optional<std::string> body_;
    // Whether any part of the message may have reached the peer.
    bool wasSent_ = false;
};

// Intervals and time-outs of connections.
struct PeerTimeouts
{
    Duration pingInterval_ = 250ms;
    // A connection is closed if nothing is received for this long after a ping.
    Duration pingTimeout_ = 750ms;
    Duration connectTimeout_ = 500ms;
    // An outbound connection without streams is closed after this time.
    Duration idleTimeout_ = 60s;

    auto operator<=>(const PeerTimeouts &) const = default;
};

// Traffic counters of a transport.
struct PeerCounters
{
    std::uint64_t sentBytes_ = 0;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t sentMessages_ = 0;
    std::uint64_t receivedMessages_ = 0;

    auto operator<=>(const PeerCounters &) const = default;
};

// Runs all inbound and outbound connections on one thread. Callbacks and handlers run on that thread and must not block.
class PeerTransport
{
public:
    // Sends the response to an inbound call. Must be called once, on any thread.
    using Responder = std::function<void(std::string body)>;
    using Handler = std::function<void(PeerChannel channel, std::string body, Responder respond)>;
    using Callback = std::function<void(PeerReply reply)>;

    // Errors: InvalidSetting if the address cannot be bound.
    static Result<std::unique_ptr<PeerTransport>> create(const std::string &address, PeerTimeouts timeouts, Handler handler);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    // Calls a peer. The callback runs exactly once, with the response or when the call fails or times out.
    void call(const std::string &address, PeerChannel channel, std::string body, Duration timeout, Callback callback);

    // Sends a message for which no response is expected.
    void send(const std::string &address, PeerChannel channel, std::string body);

    std::uint16_t port() const;
    PeerCounters counters() const;

private:
    class EventLoop;

    explicit PeerTransport(std::unique_ptr<EventLoop> loop);

    std::unique_ptr<EventLoop> loop_;
};

} // namespace Goldcrestwall
