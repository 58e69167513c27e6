// A connection between two instances.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/PeerMessages.h>

#include <LibHttp/LibHttp.h>

#include <functional>
#include <memory>
#include <vector>

namespace Goldcrestwall::Gateway {

// An encoded message with its length prefix.
using PeerFrame = std::shared_ptr<const std::string>;

// Why this instance ended a connection.
enum class PeerCloseReason {
    // The peer ended it, or it is not needed any more.
    None,
    // Too many bytes wait to be sent on it.
    QueueFull,
    // Too many bytes wait to be sent on all connections, and most of them on this one.
    AllQueuesFull,
    // The peer takes nothing of what waits to be sent.
    NotReading,
    // Too many bytes have been received on all connections without being complete messages, and most of them on this one.
    InputFull,
    // There are too many connections, and the peer has not said who it is.
    TooManyConnections,
};

const char *peerCloseReasonName(PeerCloseReason reason);

// Sends and receives messages over one TCP connection. Messages sent in the same iteration of the event loop are combined into one write.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    struct Handlers
    {
        std::function<void(const std::shared_ptr<PeerLink> &, PeerMessage)> message_;
        std::function<void(const std::shared_ptr<PeerLink> &)> closed_;
    };

    // The log must outlive the connection.
    PeerLink(asio::io_context &loop, Tcp::socket socket, Handlers handlers, EventLog &log);

    // Starts receiving.
    void start();
    void send(const PeerMessage &message);
    // Sends an encoded message that other links may send as well, without a copy of its own.
    void send(PeerFrame frame);
    // Logs the reason, if there is one, with the bytes that waited.
    void close(PeerCloseReason reason = PeerCloseReason::None);
    PeerCloseReason closeReason() const
    {
        return closeReason_;
    }
    // Limits the messages that are accepted once the peer has said who it is, in bytes. Before that only small ones are accepted.
    void setMaxFrameBytes(std::uint32_t bytes)
    {
        maxFrameBytes_ = bytes;
    }
    // For how long the peer's system has taken nothing although there is something to be sent. To be called a few times a second.
    Duration stalledFor(TimePoint now);
    // Whether the peer has said who it is.
    bool hasHello() const
    {
        return hasHello_;
    }
    bool isOpen() const
    {
        return isOpen_;
    }
    // Bytes that wait to be sent, and bytes received that are not a complete message yet.
    std::size_t outgoingBytes() const
    {
        return queuedTotal_ - writtenTotal_;
    }
    // The part of these that this link holds alone.
    std::size_t ownOutgoingBytes() const
    {
        return ownBytes_;
    }
    // Bytes given to `send` since the beginning, and those of them that have reached the peer's system.
    std::uint64_t queuedTotal() const
    {
        return queuedTotal_;
    }
    std::uint64_t deliveredTotal();
    std::size_t incomingBytes() const
    {
        return incoming_.size();
    }
    // Bytes that the system has received and this link has not read.
    std::size_t unreadBytes() const;
    // When data was last received.
    TimePoint lastReceivedAt() const
    {
        return lastReceivedAt_;
    }
    // The peer's instance name; empty until its HelloMessage has been received.
    const std::string &instance() const
    {
        return instance_;
    }
    void setInstance(std::string instance, std::string domain)
    {
        instance_ = std::move(instance);
        domain_ = std::move(domain);
    }
    // The peer's failure domain.
    const std::string &domain() const
    {
        return domain_;
    }
    // The address that this instance connected to; empty for connections that the peer opened.
    const std::string &address() const
    {
        return address_;
    }
    void setAddress(std::string address)
    {
        address_ = std::move(address);
    }
    // Whether the peer wants changes of the view to be pushed on this connection, by its last ping.
    bool wantsChanges() const
    {
        return wantsChanges_;
    }
    // Whether the peer understands pushed changes, by its last pong.
    bool acceptsChanges() const
    {
        return acceptsChanges_;
    }
    // The peer has said that its view, or a part of it, is at the version.
    void recordVersion(StoreVersion version)
    {
        version_ = std::max(version_, version);
    }
    // Whether the peer's view of the store was current, by its last pong.
    bool isViewCurrent() const
    {
        return isViewCurrent_;
    }
    // The peer's store version, by its last pong or pushed change.
    StoreVersion version() const
    {
        return version_;
    }
    // When the store last confirmed that the peer's view was complete, by this instance's clock.
    TimePoint confirmedAt() const
    {
        return confirmedAt_;
    }
    // Until when the peer claims no service, by this instance's clock.
    TimePoint claimsWithheldUntil() const
    {
        return claimsWithheldUntil_;
    }

private:
    Task<void> receive();
    void startTransmitting();
    Task<void> transmit();
    // Ends the frame that messages are added to.
    void sealTail();
    void recordPong(const PongMessage &pong);
    // Handles all complete frames; returns whether the connection may continue.
    bool processFrames();
    // Like the above, but returns false if a handler throws.
    bool tryProcessFrames();

    asio::io_context &loop_;
    EventLog &log_;
    Tcp::socket socket_;
    Handlers handlers_;
    // Complete frames to be sent, then messages that may still be joined by others.
    std::vector<PeerFrame> outgoing_;
    std::string outgoingTail_;
    // Bytes of messages, in the queue and in the write in progress, that are not shared with other links.
    std::size_t ownBytes_ = 0;
    std::uint64_t queuedTotal_ = 0;
    std::uint64_t writtenTotal_ = 0;
    std::string incoming_;
    std::string instance_;
    std::string domain_;
    std::string address_;
    TimePoint lastReceivedAt_;
    bool isOpen_ = true;
    // The queue was too long; the connection is about to be closed.
    bool isOverfull_ = false;
    bool hasHello_ = false;
    std::uint32_t maxFrameBytes_;
    PeerCloseReason closeReason_ = PeerCloseReason::None;
    std::uint64_t seenDelivered_ = 0;
    TimePoint progressAt_;
    bool isTransmitting_ = false;
    bool wantsChanges_ = false;
    bool acceptsChanges_ = false;
    bool isViewCurrent_ = false;
    StoreVersion version_;
    TimePoint confirmedAt_;
    TimePoint claimsWithheldUntil_;
};

} // namespace Goldcrestwall::Gateway
