// Accepts connections from callers.
#pragma once

#include <LibGateway/LoopDelay.h>
#include <LibGateway/RequestFlow.h>

#include <functional>
#include <set>

namespace Goldcrestwall::Gateway {

class FrontSession;

// Listens for callers and runs a session for each connection.
class FrontServer
{
public:
    // At most `maxConnections` callers are connected at a time, and fewer if the memory account has no room for them.
    FrontServer(asio::io_context &loop,
                const LoopDelayMeter &loopDelay,
                const StoreView &view,
                RequestFlow &flow,
                MemoryAccount &memory,
                std::size_t maxConnections,
                EventLog &log,
                MetricRegistry &metrics);
    ~FrontServer();

    // Errors: the address cannot be bound.
    std::error_code listen(const std::string &address);

    // From now on every connection is closed after its next response.
    void beginStop();
    // Stops accepting connections and closes those without a request in progress.
    void closeIdle();
    bool isStopping() const
    {
        return isStopping_;
    }
    std::size_t inFlightRequests() const
    {
        return requestsInProgress_;
    }
    std::size_t connectionCount() const
    {
        return sessions_.size();
    }

private:
    friend class FrontSession;

    void accept(Tcp::socket socket);
    // Answers a connection that cannot be served with 503 and closes it at once, so that it costs nothing.
    void refuse(Tcp::socket socket, const char *reason);
    // Logs that a connection or request was lost for memory, and counts it.
    void reportRefusal(MemoryHolder holder);

    asio::io_context &loop_;
    const LoopDelayMeter &loopDelay_;
    const StoreView &view_;
    RequestFlow &flow_;
    MemoryAccount &memory_;
    std::size_t maxConnections_;
    EventLog &log_;
    MetricRegistry &metrics_;
    Listener listener_;
    std::set<std::shared_ptr<FrontSession>> sessions_;
    std::size_t requestsInProgress_ = 0;
    bool isStopping_ = false;
};

} // namespace Goldcrestwall::Gateway
