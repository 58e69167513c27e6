#include "FrontServer.h"

#include "FrontSession.h"

namespace Goldcrestwall::Gateway {

FrontServer::FrontServer(asio::io_context &loop, const StoreView &view, RequestFlow &flow, EventLog &log, MetricRegistry &metrics)
    : loop_(loop)
    , view_(view)
    , flow_(flow)
    , log_(log)
    , metrics_(metrics)
    , acceptor_(loop)
{
}

FrontServer::~FrontServer() = default;

std::error_code FrontServer::listen(const std::string &address)
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

Task<void> FrontServer::accept()
{
    constexpr Duration ErrorPause = 10ms;
    while (acceptor_.is_open()) {
        ErrorCode error;
        Tcp::socket socket = co_await acceptor_.async_accept(failingInto(error));
        if (error) {
            // Without free descriptors, for example, accepting at once again would only burn the processor.
            co_await sleepFor(loop_, ErrorPause);
            continue;
        }
        auto session = std::make_shared<FrontSession>(*this, std::move(socket));
        sessions_.insert(session);
        session->start();
    }
}

void FrontServer::beginStop()
{
    isStopping_ = true;
}

void FrontServer::closeIdle()
{
    ErrorCode error;
    acceptor_.close(error);
    const auto sessions = sessions_;
    for (const auto &session : sessions) {
        session->closeIfIdle();
    }
}

} // namespace Goldcrestwall::Gateway
