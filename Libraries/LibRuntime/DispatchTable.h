// Dispatcher role of one instance, with one dispatcher per backend server.
#pragma once

#include <LibMetrics/LibMetrics.h>
#include <LibPeer/LibPeer.h>
#include <LibRuntime/RoutingView.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>

namespace Goldcrestwall {

// Holds a ServerDispatcher and a connection pool for each server dispatched by this instance. Thread-safe.
//
// Lock order: the control plane's mutex, then the table's mutex, then the mutex of one server. No lock is held during I/O.
class DispatchTable
{
public:
    DispatchTable(RoutingView &view, MetricRegistry &metrics);

    // Runs a request to completion on the calling thread, including the time in the server's queue.
    DispatchReply dispatch(const DispatchCall &call, TimePoint receivedAt);

    // Cancels an attempt: a queued one is removed from the queue, a running one is cancelled at its server.
    void cancel(const std::string &correlation);

    // Applies a routing table: adds, updates and drops servers.
    void update(const RoutingTable &table, Now now);

    // Starts queued requests and ends expired ones. Must be called every few milliseconds.
    void tick(Now now);

    // Sends a grant or a probe to each server that is due. Blocks for at most one probe time-out.
    void probeServers();

    // Queries and history transfers of the control plane.
    bool isDrained(const ServerKey &server, const std::optional<KeyRange> &range);
    bool isLost(const ServerKey &server);
    std::map<ServiceKey, std::vector<ServerLoad>> loads(Now now);
    HistoryTransfer takeHistory(const TransferHistory &transfer);
    void addHistory(HistoryTransfer transfer, Now now);

    // State of one server as shown to operators.
    struct ServerView
    {
        ServerKey server_;
        FencingToken token_ = 0;
        std::size_t running_ = 0;
        std::size_t queued_ = 0;
        std::uint32_t limit_ = 0;
        bool isLost_ = false;
        bool needsGrant_ = false;
        Duration serviceTime_{};
    };
    std::vector<ServerView> servers();

private:
    enum class WaitState {
        Waiting,
        Ready,
        Expired,
        Evicted,
        Misdirected,
    };
    struct Waiter
    {
        std::condition_variable condition_;
        WaitState state_ = WaitState::Waiting;
    };
    struct ServerContext
    {
        ServerContext(ServerDispatcher dispatcher, const ServerConfiguration &configuration);

        std::mutex mutex_;
        ServerDispatcher dispatcher_;
        BackendClient client_;
        std::string address_;
        std::map<Ticket, Waiter *> waiters_;
        bool isProbing_ = false;
    };
    struct PendingHistory
    {
        HistoryTransfer transfer_;
        TimePoint receivedAt_;
    };
    struct RunningAttempt
    {
        std::shared_ptr<ServerContext> serverContext_;
        Ticket ticket_ = 0;
    };

    std::shared_ptr<ServerContext> find(const ServerKey &server);
    DispatchRights rightsFor(const DispatchCall &call, const RoutingTable &table) const;
    std::optional<Verdict> waitForSlot(ServerContext &serverContext, std::unique_lock<std::mutex> &lock, Ticket ticket, TimePoint deadline);
    DispatchReply run(ServerContext &serverContext, std::unique_lock<std::mutex> &lock, Ticket ticket, const DispatchCall &call);
    static void signal(ServerContext &serverContext, const GateEvents &events);
    static void wake(ServerContext &serverContext, const std::vector<Ticket> &tickets, WaitState state);
    void probeServer(ServerContext &serverContext);
    void applyHistories(ServerContext &serverContext, const ServiceRecord &record, Now now);

    RoutingView &view_;
    MetricRegistry &metrics_;
    std::shared_mutex mutex_;
    std::map<ServerKey, std::shared_ptr<ServerContext>> serverContexts_;
    std::mutex historyMutex_;
    std::map<ChangeId, std::vector<PendingHistory>> histories_;
    std::mutex attemptsMutex_;
    std::map<std::string, RunningAttempt> attempts_;
};

} // namespace Goldcrestwall
