// Boost.Asio and Boost.Beast types and helpers used by LibHttp and its users.
#pragma once

// The coroutine headers of the packaged Boost.Asio use std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <LibBase/LibBase.h>

#include <optional>
#include <string>

namespace Goldcrestwall::Gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;
template<typename T>
using Task = boost::asio::awaitable<T>;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Completion token that stores the error of an operation in `error` instead of throwing it.
inline auto redirectErrorTo(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// The length of the body by the message's headers. Nothing if they announce none, or have not been read completely.
template<typename Parser>
std::optional<std::uint64_t> announcedLength(const Parser &parser)
{
    const bool isKnown = parser.is_header_done() && parser.content_length();
    return isKnown ? std::make_optional<std::uint64_t>(*parser.content_length()) : std::nullopt;
}

// Parses an IP address and port; returns nothing if the text is malformed.
std::optional<Tcp::endpoint> parseEndpoint(const std::string &address);

// Sets the options of a new connection: TCP_NODELAY, and time limits after which an unresponsive peer is detected.
void configureSocket(Tcp::socket &socket);
// Makes every close of the connection, including one by a timeout, discard unsent bytes: bytes delayed by a network partition must
// not arrive after the sender has given up.
void resetOnClose(Tcp::socket &socket);

// What can be read from a connection at present.
enum class ReadableState {
    // Nothing; the connection is open.
    Silent,
    // At least one byte.
    HasBytes,
    // Nothing any more: the peer has closed the connection, or it has failed.
    Ended,
};

// Does not read anything.
ReadableState peekReadable(Tcp::socket &socket);

// Suspends the coroutine for the given duration.
Task<void> sleepFor(asio::io_context &loop, Duration duration);

} // namespace Goldcrestwall::Gateway
