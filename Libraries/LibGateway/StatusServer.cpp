// The HTTP connections of readiness checks and metrics.
#include "StatusServer.h"

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration IdleTimeout = 10s;

} // namespace

StatusServer::StatusServer(asio::io_context &loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
    , listener_(loop, [this](Tcp::socket socket) {
        asio::co_spawn(loop_, serve(std::move(socket)), asio::detached);
    })
{
}

std::error_code StatusServer::listen(const std::string &address)
{
    return listener_.listen(address);
}

Task<void> StatusServer::serve(Tcp::socket socket)
{
    configureSocket(socket);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (bool isKeepAlive = true; isKeepAlive;) {
        HttpRequest request;
        ErrorCode error;
        stream.expires_after(std::chrono::microseconds(IdleTimeout));
        co_await http::async_read(stream, buffer, request, redirectErrorTo(error));
        if (error) {
            co_return;
        }
        HttpResponse response = handler_(request);
        response.version(11);
        isKeepAlive = request.keep_alive();
        response.keep_alive(isKeepAlive);
        response.prepare_payload();
        co_await http::async_write(stream, response, redirectErrorTo(error));
        isKeepAlive = isKeepAlive && !error;
    }
    ErrorCode error;
    stream.socket().shutdown(Tcp::socket::shutdown_send, error);
}

} // namespace Goldcrestwall::Gateway
