// Framing, sending and receiving of peer messages.
#include "PeerLink.h"

#include "Tasks.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <arpa/inet.h>

#include <cstring>

namespace Goldcrestwall::Gateway {

namespace {

// No instance sends larger messages; a longer length means that the peer does not speak this protocol.
constexpr std::uint32_t MaxFrameBytes = 16U << 20U;
// The connection is closed when this many bytes are unsent because the peer does not read.
constexpr std::size_t MaxOutgoingBytes = 32U << 20U;
constexpr std::size_t ReadSize = 4096;

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
    outgoing_ += encodeFrame(message);
    if (outgoing_.size() > MaxOutgoingBytes) {
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
    while (!outgoing_.empty() && isOpen_) {
        const std::string bytes = std::exchange(outgoing_, {});
        transmittingBytes_ = bytes.size();
        ErrorCode error;
        co_await asio::async_write(socket_, asio::buffer(bytes), redirectErrorTo(error));
        if (error) {
            close();
        }
    }
    transmittingBytes_ = 0;
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
