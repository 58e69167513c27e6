// Carries messages between instances over HTTP/2 streams.
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

// What a stream carries.
enum class PeerChannel : std::uint8_t {
    // Control messages; the answer, if any, is a message of its own.
    Control,
    // Requests for a dispatcher, answered on the same stream.
    Dispatch,
    // Histories for the next dispatcher, acknowledged by an empty answer.
    History,
    // Correlations of attempts that are no longer wanted.
    Cancel,
};

// How a call ended.
struct PeerReply
{
    // Set when an answer arrived whole.
    std::optional<std::string> body_;
    // Whether any of the message may have reached the peer.
    bool wasSent_ = false;
};

// The time parameters of connections.
struct PeerTimeouts
{
    Duration pingInterval_ = 250ms;
    // A connection that stays silent for this long after a ping is given up.
    Duration pingTimeout_ = 750ms;
    Duration connectTimeout_ = 500ms;
    // Connections without streams are closed after this time.
    Duration idleTimeout_ = 60s;

    auto operator<=>(const PeerTimeouts &) const = default;
};

// Sent and received bytes and messages.
struct PeerCounters
{
    std::uint64_t sentBytes_ = 0;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t sentMessages_ = 0;
    std::uint64_t receivedMessages_ = 0;

    auto operator<=>(const PeerCounters &) const = default;
};

// One thread drives all connections, inbound and outbound. Callbacks run on that thread and must not block.
class PeerTransport
{
public:
    // Sends the answer to an inbound call; may be called on any thread, once.
    using Responder = std::function<void(std::string body)>;
    using Handler = std::function<void(PeerChannel channel, std::string body, Responder respond)>;
    using Callback = std::function<void(PeerReply reply)>;

    // Errors: InvalidSetting if the address cannot be bound.
    static Result<std::unique_ptr<PeerTransport>> create(const std::string &address, PeerTimeouts timeouts, Handler handler);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    // Calls a peer. The callback runs exactly once, at the latest after `timeout`.
    void call(const std::string &address, PeerChannel channel, std::string body, Duration timeout, Callback callback);

    // Sends a message for which no answer is expected.
    void send(const std::string &address, PeerChannel channel, std::string body);

    std::uint16_t port() const;
    PeerCounters counters() const;

private:
    class EventLoop;

    explicit PeerTransport(std::unique_ptr<EventLoop> loop);

    std::unique_ptr<EventLoop> loop_;
};

} // namespace Goldcrestwall
