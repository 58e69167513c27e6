// Buffer for received bytes that grows only as far as memory is reserved for it.
#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/MemoryAccount.h>

#include <boost/beast/core/read_size.hpp>

#include <algorithm>
#include <string_view>

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

    // Reads and parses up to the end of the head of a message. `checkLines` returns an error or none for each part that has been parsed: one or more
    // whole lines, as received. Errors: those of `readSome` and of `checkLines`.
    template<typename Stream, typename Parser, typename CheckLines>
    Task<ErrorCode> readHead(Stream &stream, Parser &parser, std::size_t maxSize, CheckLines checkLines)
    {
        ErrorCode error;
        if (buffer_.size() == 0) {
            error = co_await receive(stream, parser, maxSize);
        }
        while (!error && !parser.is_header_done()) {
            error = parseLines(parser, checkLines);
            if (error == http::error::need_more) {
                error = co_await receive(stream, parser, maxSize);
            }
        }
        co_return error;
    }

    // Reads and parses the next part of a message. Errors: no_memory when the account refuses more; buffer_overflow when the parser needs
    // more than `maxSize` bytes at once; those of the stream and the parser.
    template<typename Stream, typename Parser>
    Task<ErrorCode> readSome(Stream &stream, Parser &parser, std::size_t maxSize)
    {
        for (;;) {
            ErrorCode error;
            limitToReserved();
            co_await http::async_read_some(stream, buffer_, parser, redirectErrorTo(error));
            if (error != http::error::buffer_overflow || reservedSize() >= maxSize) {
                co_return error;
            }
            if (!reserveMore(maxSize)) {
                co_return asio::error::no_memory;
            }
        }
    }

private:
    // A read that can receive nothing would complete before it has been awaited.
    static constexpr std::size_t Slack = 512;
    static constexpr std::size_t MaxReadBytes = 65536;

    // Receives the next bytes, without parsing them. Errors: those of `readSome`.
    template<typename Stream, typename Parser>
    Task<ErrorCode> receive(Stream &stream, const Parser &parser, std::size_t maxSize)
    {
        limitToReserved();
        if (beast::read_size(buffer_, MaxReadBytes) == 0) {
            if (reservedSize() >= maxSize) {
                co_return http::error::buffer_overflow;
            }
            if (!reserveMore(maxSize)) {
                co_return asio::error::no_memory;
            }
            limitToReserved();
        }
        const std::size_t room = beast::read_size(buffer_, MaxReadBytes);
        ErrorCode error;
        const std::size_t size = co_await stream.async_read_some(buffer_.prepare(room), redirectErrorTo(error));
        buffer_.commit(size);
        if (error == asio::error::eof) {
            co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        co_return error;
    }

    // Parses the lines of a head that have been received, and has them checked.
    template<typename Parser, typename CheckLines>
    ErrorCode parseLines(Parser &parser, CheckLines checkLines)
    {
        ErrorCode error;
        const auto received = buffer_.data();
        const std::size_t size = parser.put(received, error);
        const ErrorCode checked = checkLines(std::string_view(static_cast<const char *>(received.data()), size));
        buffer_.consume(size);
        return checked ? checked : error;
    }

    // Lets the buffer grow as far as memory is reserved for it.
    void limitToReserved()
    {
        buffer_.max_size(std::max(reservedSize(), buffer_.size()) + Slack);
    }

    // Reserves up to twice the memory, but no more than for `maxSize` bytes.
    bool reserveMore(std::size_t maxSize)
    {
        return reservation_.tryReserve(std::min(2 * reservedSize(), maxSize) - FreeBytes);
    }

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
