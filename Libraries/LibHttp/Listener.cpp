// Accepts TCP connections on one address.
#include "Listener.h"

#include <glog/logging.h>

namespace Goldcrestwall::Gateway {

namespace {

// Delay after a failed accept, which avoids a busy loop, for example when file descriptors are exhausted.
constexpr Duration AcceptErrorBackoff = 10ms;

ErrorCode open(Tcp::acceptor &acceptor, const Tcp::endpoint &endpoint)
{
    ErrorCode error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        // Allows binding to an address that another process has used recently.
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

} // namespace

Listener::Listener(asio::io_context &loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
    , acceptor_(loop)
{
}

std::error_code Listener::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint || open(acceptor_, *endpoint)) {
        return make_error_code(RouterError::InvalidSetting);
    }
    asio::co_spawn(loop_, accept(), asio::detached);
    return {};
}

void Listener::close()
{
    ErrorCode error;
    acceptor_.close(error);
}

Task<void> Listener::accept()
{
    while (acceptor_.is_open()) {
        ErrorCode error;
        Tcp::socket socket = co_await acceptor_.async_accept(redirectErrorTo(error));
        if (error) {
            co_await sleepFor(loop_, AcceptErrorBackoff);
            continue;
        }
        try {
            handler_(std::move(socket));
        } catch (const std::exception &failure) {
            LOG(ERROR) << "cannot serve accepted connection: " << failure.what();
        }
    }
}

} // namespace Goldcrestwall::Gateway
