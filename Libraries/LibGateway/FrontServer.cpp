// The listener for callers and the planned stop of their connections.
#include "FrontServer.h"

#include "FrontSession.h"

namespace Goldcrestwall::Gateway {

FrontServer::FrontServer(asio::io_context &loop,
                         const LoopDelayMeter &loopDelay,
                         const StoreView &view,
                         RequestFlow &flow,
                         BodyBudget &bodies,
                         EventLog &log,
                         MetricRegistry &metrics)
    : loop_(loop)
    , loopDelay_(loopDelay)
    , view_(view)
    , flow_(flow)
    , bodies_(bodies)
    , log_(log)
    , metrics_(metrics)
    , listener_(loop, [this](Tcp::socket socket) {
        auto session = std::make_shared<FrontSession>(*this, std::move(socket));
        sessions_.insert(session);
        session->start();
    })
{
}

FrontServer::~FrontServer() = default;

std::error_code FrontServer::listen(const std::string &address)
{
    return listener_.listen(address);
}

std::size_t FrontServer::inputBytes() const
{
    std::size_t bytes = 0;
    for (const auto &session : sessions_) {
        bytes += session->inputBytes();
    }
    return bytes;
}

void FrontServer::beginStop()
{
    isStopping_ = true;
}

void FrontServer::closeIdle()
{
    listener_.close();
    const auto sessions = sessions_;
    for (const auto &session : sessions) {
        session->closeIfIdle();
    }
}

} // namespace Goldcrestwall::Gateway
