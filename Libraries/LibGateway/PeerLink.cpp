// Framing, sending and receiving of peer messages.
#include "PeerLink.h"

#include "Tasks.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <cstring>

namespace Goldcrestwall::Gateway {

namespace {

// No instance sends larger messages; a longer length means that the peer does not speak this protocol.
constexpr std::uint32_t MaxFrameBytes = 16U << 20U;
// Larger than any message that says who the sender is.
constexpr std::uint32_t MaxHelloBytes = 4096;
// The connection is closed when this many bytes are unsent because the peer does not read, without answers for the view.
constexpr std::size_t MaxOutgoingBytes = 2U << 20U;
// A receive buffer that is empty and larger than this is given back.
constexpr std::size_t MaxIdleBuffer = 65536;
constexpr std::size_t ReadSize = 4096;
constexpr std::size_t WriteSize = 65536;

} // namespace

PeerLink::PeerLink(asio::io_context &loop, Tcp::socket socket, Handlers handlers, EventLog &log)
    : loop_(loop)
    , log_(log)
    , socket_(std::move(socket))
    , handlers_(std::move(handlers))
    , lastReceivedAt_(bootNow())
    , maxFrameBytes_(MaxFrameBytes)
    , progressAt_(lastReceivedAt_)
{
    configureSocket(socket_);
    resetOnClose(socket_);
}

const char *peerCloseReasonName(PeerCloseReason reason)
{
    switch (reason) {
    case PeerCloseReason::None:
        return "none";
    case PeerCloseReason::QueueFull:
        return "queue-full";
    case PeerCloseReason::AllQueuesFull:
        return "all-queues-full";
    case PeerCloseReason::NotReading:
        return "not-reading";
    case PeerCloseReason::InputFull:
        return "input-full";
    case PeerCloseReason::TooManyConnections:
        return "too-many-connections";
    }
    return "none";
}

void PeerLink::start()
{
    spawn(loop_, log_, "peer-receive", [self = shared_from_this()] {
        return self->receive();
    });
}

void PeerLink::send(const PeerMessage &message)
{
    if (!isOpen_ || isOverfull_) {
        return;
    }
    const auto frame = encodeFrame(message);
    outgoingTail_ += frame;
    ownBytes_ += frame.size();
    queuedTotal_ += frame.size();
    startTransmitting();
}

void PeerLink::send(PeerFrame frame)
{
    if (!isOpen_ || isOverfull_) {
        return;
    }
    sealTail();
    queuedTotal_ += frame->size();
    outgoing_.push_back(std::move(frame));
    startTransmitting();
}

void PeerLink::sealTail()
{
    if (!outgoingTail_.empty()) {
        outgoing_.push_back(std::make_shared<const std::string>(std::exchange(outgoingTail_, {})));
    }
}

std::uint64_t PeerLink::deliveredTotal()
{
    int unacknowledged = 0;
    if (!isOpen_ || ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0) {
        return writtenTotal_;
    }
    // During a write, the system may have taken more bytes than this link knows of.
    return writtenTotal_ - std::min(writtenTotal_, static_cast<std::uint64_t>(unacknowledged));
}

std::size_t PeerLink::unreadBytes() const
{
    ErrorCode error;
    return isOpen_ ? socket_.available(error) : 0;
}

Duration PeerLink::stalledFor(TimePoint now)
{
    const auto delivered = deliveredTotal();
    if (delivered != seenDelivered_ || delivered == queuedTotal_) {
        seenDelivered_ = delivered;
        progressAt_ = now;
    }
    return now - progressAt_;
}

void PeerLink::startTransmitting()
{
    if (ownBytes_ > MaxOutgoingBytes) {
        // The caller may be going through all connections, so this one does not end before it has returned.
        isOverfull_ = true;
        asio::post(loop_, [self = shared_from_this()] {
            self->close(PeerCloseReason::QueueFull);
        });
        return;
    }
    if (isTransmitting_) {
        return;
    }
    isTransmitting_ = true;
    asio::post(loop_, [self = shared_from_this()] {
        spawn(self->loop_, self->log_, "peer-transmit", [self] {
            return self->transmit();
        });
    });
}

Task<void> PeerLink::transmit()
{
    for (sealTail(); !outgoing_.empty() && isOpen_; sealTail()) {
        const auto frames = std::exchange(outgoing_, {});
        const auto ownBytes = ownBytes_;
        std::vector<asio::const_buffer> buffers;
        for (const auto &frame : frames) {
            buffers.push_back(asio::buffer(*frame));
        }
        const auto writtenBefore = writtenTotal_;
        const auto recordProgress = [this, writtenBefore](const ErrorCode &error, std::size_t size) {
            writtenTotal_ = writtenBefore + size;
            return error ? 0 : WriteSize;
        };
        ErrorCode error;
        // The condition is not asked again after the last part.
        writtenTotal_ = writtenBefore + co_await asio::async_write(socket_, buffers, recordProgress, redirectErrorTo(error));
        ownBytes_ -= ownBytes;
        if (error) {
            close();
        }
    }
    isTransmitting_ = false;
}

Task<void> PeerLink::receive()
{
    std::array<char, ReadSize> chunk{};
    while (isOpen_) {
        ErrorCode error;
        const std::size_t size = co_await socket_.async_read_some(asio::buffer(chunk), redirectErrorTo(error));
        if (error) {
            break;
        }
        lastReceivedAt_ = bootNow();
        incoming_.append(chunk.data(), size);
        if (!tryProcessFrames()) {
            break;
        }
    }
    close();
}

void PeerLink::recordPong(const PongMessage &pong)
{
    isViewCurrent_ = pong.isViewCurrent_;
    version_ = pong.version();
    acceptsChanges_ = pong.acceptsChanges_;
    if (pong.pingSentAt_ != 0 && pong.viewAge_ >= 0) {
        // Counted from the sending of the ping, because the pong may have been delayed.
        confirmedAt_ = std::max(confirmedAt_, TimePoint(Duration(pong.pingSentAt_ - pong.viewAge_)));
    }
    if (pong.pingSentAt_ != 0) {
        const Duration withheldFor = std::clamp<Duration>(Duration(pong.claimsWithheldFor_), Duration::zero(), ClaimWithholdTime);
        claimsWithheldUntil_ = TimePoint(Duration(pong.pingSentAt_)) + withheldFor;
    }
}

bool PeerLink::tryProcessFrames()
{
    try {
        return processFrames();
    } catch (...) {
        // Later messages may depend on the one that failed, so the connection is closed and opened again.
        logUnexpected(log_, "peer-message", std::current_exception());
        return false;
    }
}

bool PeerLink::processFrames()
{
    std::size_t position = 0;
    while (isOpen_ && incoming_.size() - position >= sizeof(std::uint32_t)) {
        std::uint32_t length = 0;
        std::memcpy(&length, incoming_.data() + position, sizeof length);
        length = ntohl(length);
        if (length > (hasHello_ ? maxFrameBytes_ : MaxHelloBytes)) {
            return false;
        }
        if (incoming_.size() - position - sizeof length < length) {
            break;
        }
        auto message = decodeFrame(incoming_.data() + position + sizeof length, length);
        position += sizeof length + length;
        if (!message) {
            return false;
        }
        if (const auto *pong = std::get_if<PongMessage>(&*message)) {
            recordPong(*pong);
        } else if (const auto *ping = std::get_if<PingMessage>(&*message)) {
            wantsChanges_ = ping->wantsChanges_;
        }
        hasHello_ = hasHello_ || std::holds_alternative<HelloMessage>(*message);
        handlers_.message_(shared_from_this(), std::move(*message));
    }
    incoming_.erase(0, position);
    if (incoming_.empty() && incoming_.capacity() > MaxIdleBuffer) {
        incoming_.shrink_to_fit();
    }
    return true;
}

void PeerLink::close(PeerCloseReason reason)
{
    if (!isOpen_) {
        return;
    }
    isOpen_ = false;
    closeReason_ = reason;
    if (reason != PeerCloseReason::None) {
        log_.write(LogLine("peer-closed")
                       .add("peer", instance_)
                       .add("address", address_)
                       .add("reason", peerCloseReasonName(reason))
                       .add("outgoing", outgoingBytes())
                       .add("incoming", incomingBytes()),
                   LogImportance::Sampled,
                   bootNow());
    }
    outgoing_.clear();
    outgoingTail_.clear();
    ErrorCode error;
    socket_.close(error);
    handlers_.closed_(shared_from_this());
}

} // namespace Goldcrestwall::Gateway
