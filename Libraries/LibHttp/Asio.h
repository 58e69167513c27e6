// What LibHttp and its users share of Boost.Asio and Boost.Beast.
#pragma once

// Boost.Asio's coroutine headers of the packaged version use std::exchange without including it.
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

// Makes an operation return its error instead of throwing it.
inline auto redirectErrorTo(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// Parses IP number and port.
std::optional<Tcp::endpoint> parseEndpoint(const std::string &address);

// Sets the options of every connection: no delay of small writes, and a bound on how long a silent peer goes unnoticed.
void configureSocket(Tcp::socket &socket);
// Makes every end of the connection discard what has not been sent yet, also one by a timeout: bytes that a partition holds up must
// not arrive after their sender has given up.
void resetOnClose(Tcp::socket &socket);

// Waits on the loop's timer.
Task<void> sleepFor(asio::io_context &loop, Duration duration);

} // namespace Goldcrestwall::Gateway
