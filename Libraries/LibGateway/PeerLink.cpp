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
// The connection is closed when this many bytes are unsent because the peer does not read.
constexpr std::size_t MaxOutgoingBytes = 32U << 20U;
constexpr std::size_t ReadSize = 4096;
constexpr std::size_t WriteSize = 65536;

} // namespace

PeerLink::PeerLink(asio::io_context &loop, Tcp::socket socket, Handlers handlers, EventLog &log)
    : loop_(loop)
    , log_(log)
    , socket_(std::move(socket))
    , handlers_(std::move(handlers))
    , lastReceivedAt_(bootNow())
{
    configureSocket(socket_);
    resetOnClose(socket_);
}

void PeerLink::start()
{
    spawn(loop_, log_, "peer-receive", [self = shared_from_this()] {
        return self->receive();
    });
}

void PeerLink::send(const PeerMessage &message)
{
    if (!isOpen_) {
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
    if (!isOpen_) {
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

void PeerLink::startTransmitting()
{
    if (outgoingBytes() > MaxOutgoingBytes) {
        close();
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
    revision_ = pong.revision_;
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
        if (length > MaxFrameBytes) {
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
        }
        handlers_.message_(shared_from_this(), std::move(*message));
    }
    incoming_.erase(0, position);
    return true;
}

void PeerLink::close()
{
    if (!isOpen_) {
        return;
    }
    isOpen_ = false;
    ErrorCode error;
    socket_.close(error);
    handlers_.closed_(shared_from_this());
}

} // namespace Goldcrestwall::Gateway
