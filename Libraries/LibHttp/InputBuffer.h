// Buffer for received bytes that grows only as far as memory is reserved for it.
#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/MemoryAccount.h>

#include <algorithm>

namespace Goldcrestwall::Gateway {

// Bytes received and not parsed. The first `FreeBytes` are part of the fixed cost of the connection; more is reserved before it is read.
class InputBuffer
{
public:
    static constexpr std::size_t FreeBytes = 4096;

    InputBuffer(MemoryAccount &account, MemoryHolder holder)
        : reservation_(account, holder)
    {
    }

    std::size_t size() const
    {
        return buffer_.size();
    }
    std::size_t capacity() const
    {
        return buffer_.capacity();
    }

    // Gives back memory that the bytes do not need. Must not be called during a read.
    void trim();
    // Discards all bytes and gives their memory back. Must not be called during a read.
    void clear();

    // Reads the first bytes into an empty buffer.
    template<typename Stream>
    Task<ErrorCode> readFirst(Stream &stream)
    {
        ErrorCode error;
        buffer_.max_size(FreeBytes);
        const std::size_t size = co_await stream.async_read_some(buffer_.prepare(FreeBytes), redirectErrorTo(error));
        buffer_.commit(size);
        co_return error;
    }

    // Reads and parses the next part of a message. Errors: no_memory when the account refuses more; buffer_overflow when the parser needs
    // more than `maxSize` bytes at once; those of the stream and the parser.
    template<typename Stream, typename Parser>
    Task<ErrorCode> readSome(Stream &stream, Parser &parser, std::size_t maxSize)
    {
        for (;;) {
            ErrorCode error;
            buffer_.max_size(std::max(reservedSize(), buffer_.size()) + Slack);
            co_await http::async_read_some(stream, buffer_, parser, redirectErrorTo(error));
            if (error != http::error::buffer_overflow || reservedSize() >= maxSize) {
                co_return error;
            }
            if (!reservation_.tryReserve(std::min(2 * reservedSize(), maxSize) - FreeBytes)) {
                co_return asio::error::no_memory;
            }
        }
    }

private:
    // A read that can receive nothing would complete before it has been awaited.
    static constexpr std::size_t Slack = 512;

    std::size_t reservedSize() const
    {
        return FreeBytes + static_cast<std::size_t>(reservation_.bytes());
    }

    beast::flat_buffer buffer_;
    MemoryReservation reservation_;
};

inline void InputBuffer::trim()
{
    if (buffer_.size() < reservedSize()) {
        if (buffer_.capacity() > FreeBytes) {
            buffer_.shrink_to_fit();
        }
        reservation_.shrinkTo(std::max(buffer_.size(), FreeBytes) - FreeBytes);
    }
}

inline void InputBuffer::clear()
{
    buffer_.clear();
    trim();
}

} // namespace Goldcrestwall::Gateway
