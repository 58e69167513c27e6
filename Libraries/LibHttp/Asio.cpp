// Socket options, address parsing and timers for LibHttp.
#include "Asio.h"

#include <netinet/tcp.h>

#include <charconv>

namespace Goldcrestwall::Gateway {

namespace {

// Time for which sent bytes may remain unacknowledged before the connection is closed, in milliseconds.
constexpr int UnacknowledgedTimeoutMs = 2500;
// TCP keep-alive: seconds until the first probe, seconds between probes, and number of unanswered probes that close the connection.
constexpr int ProbeIdleSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int ProbeCount = 2;

void setOption(Tcp::socket &socket, int level, int name, int value)
{
    // The connection still works without the option; only an unresponsive peer is detected later.
    if (::setsockopt(socket.native_handle(), level, name, &value, sizeof value) != 0) {
        VLOG(1) << "socket option " << name << " was refused";
    }
}

} // namespace

std::optional<Tcp::endpoint> parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    ErrorCode error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return Tcp::endpoint(ip, port);
}

void configureSocket(Tcp::socket &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

void resetOnClose(Tcp::socket &socket)
{
    ErrorCode error;
    socket.set_option(asio::socket_base::linger(true, 0), error);
}

ReadableState peekReadable(Tcp::socket &socket)
{
    char byte = 0;
    const auto read = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (read > 0) {
        return ReadableState::HasBytes;
    }
    const bool isSilent = read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return isSilent ? ReadableState::Silent : ReadableState::Ended;
}

Task<void> sleepFor(asio::io_context &loop, Duration duration)
{
    asio::steady_timer timer(loop, std::chrono::microseconds(duration));
    ErrorCode error;
    co_await timer.async_wait(redirectErrorTo(error));
}

} // namespace Goldcrestwall::Gateway
