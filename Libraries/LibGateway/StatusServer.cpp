#include "StatusServer.h"

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration IdleTimeout = 10s;

} // namespace

StatusServer::StatusServer(asio::io_context &loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
    , acceptor_(loop)
{
}

std::error_code StatusServer::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return make_error_code(RouterError::InvalidSetting);
    }
    if (listenOn(acceptor_, *endpoint)) {
        return make_error_code(RouterError::InvalidSetting);
    }
    asio::co_spawn(loop_, accept(), asio::detached);
    return {};
}

Task<void> StatusServer::accept()
{
    constexpr Duration ErrorPause = 10ms;
    while (acceptor_.is_open()) {
        ErrorCode error;
        Tcp::socket socket = co_await acceptor_.async_accept(failingInto(error));
        if (error) {
            co_await sleepFor(loop_, ErrorPause);
            continue;
        }
        asio::co_spawn(loop_, serve(std::move(socket)), asio::detached);
    }
}

Task<void> StatusServer::serve(Tcp::socket socket)
{
    configureSocket(socket);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (bool isKept = true; isKept;) {
        HttpRequest request;
        ErrorCode error;
        stream.expires_after(std::chrono::microseconds(IdleTimeout));
        co_await http::async_read(stream, buffer, request, failingInto(error));
        if (error) {
            co_return;
        }
        HttpResponse response = handler_(request);
        response.version(11);
        isKept = request.keep_alive();
        response.keep_alive(isKept);
        response.prepare_payload();
        co_await http::async_write(stream, response, failingInto(error));
        isKept = isKept && !error;
    }
    ErrorCode error;
    stream.socket().shutdown(Tcp::socket::shutdown_send, error);
}

} // namespace Goldcrestwall::Gateway
