// The listener for callers and the planned stop of their connections.
#include "FrontServer.h"

#include "FrontSession.h"
#include "MemoryUse.h"

namespace Goldcrestwall::Gateway {

namespace {

// Memory of a connection with an unfinished request of up to `InputBuffer::FreeBytes`, in bytes.
constexpr std::uint64_t ConnectionBytes = 14'000;
constexpr std::size_t ReadSize = 4096;
// Input that is read before a refused connection is closed.
constexpr std::size_t MaxDiscardedBytes = 64U << 10U;
constexpr std::string_view RefusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

FrontServer::FrontServer(asio::io_context &loop,
                         const LoopDelayMeter &loopDelay,
                         const StoreView &view,
                         RequestFlow &flow,
                         MemoryAccount &memory,
                         std::size_t maxConnections,
                         EventLog &log,
                         MetricRegistry &metrics)
    : loop_(loop)
    , loopDelay_(loopDelay)
    , view_(view)
    , flow_(flow)
    , memory_(memory)
    , maxConnections_(maxConnections)
    , log_(log)
    , metrics_(metrics)
    , listener_(loop, [this](Tcp::socket socket) {
        accept(std::move(socket));
    })
{
}

FrontServer::~FrontServer() = default;

std::error_code FrontServer::listen(const std::string &address)
{
    return listener_.listen(address);
}

void FrontServer::accept(Tcp::socket socket)
{
    if (sessions_.size() >= maxConnections_) {
        refuse(std::move(socket), "descriptors");
        return;
    }
    MemoryReservation reservation(memory_, MemoryHolder::CallerConnections);
    if (!reservation.tryReserve(ConnectionBytes)) {
        reportRefusal(MemoryHolder::CallerConnections);
        refuse(std::move(socket), "memory");
        return;
    }
    auto session = std::make_shared<FrontSession>(*this, std::move(socket), std::move(reservation));
    sessions_.insert(session);
    session->start();
}

void FrontServer::refuse(Tcp::socket socket, const char *reason)
{
    metrics_.increment("goldcrestwall_connections_refused_total", {{"reason", reason}});
    ErrorCode error;
    socket.non_blocking(true, error);
    socket.send(asio::buffer(RefusalResponse), 0, error);
    socket.shutdown(Tcp::socket::shutdown_send, error);
    // Closing while input is unread would reset the connection, and the caller could lose the response.
    std::array<char, ReadSize> ignored{};
    for (std::size_t discarded = 0; discarded < MaxDiscardedBytes && !error;) {
        discarded += socket.read_some(asio::buffer(ignored), error);
    }
    socket.close(error);
}

void FrontServer::reportRefusal(MemoryHolder holder)
{
    log_.write(makeRefusalLine(memory_, holder), LogImportance::Sampled, bootNow());
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
