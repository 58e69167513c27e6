#include "Listener.h"

#include <glog/logging.h>

namespace Goldcrestwall::Gateway {

namespace {

// Without free descriptors, for example, accepting again at once would only burn the processor.
constexpr Duration AcceptErrorBackoff = 10ms;

ErrorCode open(Tcp::acceptor &acceptor, const Tcp::endpoint &endpoint)
{
    ErrorCode error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        // An address that a process used a moment ago is no obstacle.
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
            LOG(ERROR) << "a new connection cannot be served: " << failure.what();
        }
    }
}

} // namespace Goldcrestwall::Gateway
