// An instance in simulated time: the real coordinator, dispatchers and entry decisions, without threads and sockets.
#pragma once

#include <LibRouter/LibRouter.h>
#include <Tests/Harness/EventQueue.h>

#include <memory>
#include <set>

namespace Goldcrestwall {

class Simulation;

// A request of a client.
struct ClientRequest
{
    ServiceKey service_;
    CustomerId customer_;
    std::string key_;
    RequestId id_;
    Idempotence idempotence_ = Idempotence::Idempotent;
    Priority priority_ = Priority::Interactive;
    Duration timeout_ = 2s;
};

// The response to a client.
struct ClientAnswer
{
    bool isAnswered_ = false;
    std::string content_;
    Verdict verdict_;
};

// A request that an entry sends to a dispatcher.
struct FakeCall
{
    ServerKey server_;
    Incarnation dispatcher_;
    DispatchRequest request_;
    std::uint64_t correlation_ = 0;
    Duration timeout_{};
};

// How the entry chooses among servers and whether it hedges. RandomTarget is the baseline: the behavior of simpler routers.
enum class EntryPolicy {
    Full,
    RandomTarget,
};

// Runs the decision code of one instance and connects it to the simulation. A restart creates a new process with a new incarnation;
// events of the old process are discarded.
class FakeInstance
{
public:
    FakeInstance(Simulation &simulation, InstanceId id, DomainId domain, std::uint64_t seed);

    void start();
    // Ends the process immediately.
    void kill();
    // Suspends or resumes the process. Messages and events wait while it is suspended.
    void setPaused(bool isPaused);
    void leave();

    bool isRunning() const
    {
        return process_ != 0 && !isPaused_;
    }
    bool isAlive() const
    {
        return process_ != 0;
    }
    bool isPaused() const
    {
        return isPaused_;
    }
    bool hasLeft() const
    {
        return coordinator_ && coordinator_->hasLeft();
    }
    const InstanceId &id() const
    {
        return id_;
    }
    const DomainId &domain() const
    {
        return domain_;
    }
    UnixMilliseconds startedAt() const
    {
        return startedAt_;
    }
    std::string address() const
    {
        return id_.value_;
    }
    std::size_t inFlightRequests() const
    {
        return requestContexts_.size();
    }
    Coordinator &coordinator()
    {
        return *coordinator_;
    }
    std::shared_ptr<const RoutingTable> table() const
    {
        return table_;
    }

    void receive(const Envelope &envelope);
    void receiveHistory(const ServerKey &server, const ChangeId &change, const std::vector<RangeHistory> &histories, const ServerHandoverState &handoverState);
    void submit(const ClientRequest &request, std::function<void(const ClientAnswer &answer)> respond);
    void dispatch(const FakeCall &call, std::function<void(const ClientAnswer &answer)> respond);
    void cancel(std::uint64_t correlation);
    // Submits an operator's change.
    void change(RecordChange change);
    // Runs a task in this process, immediately or when a suspended process is resumed.
    void run(std::function<void()> task);

    std::uint64_t retries() const
    {
        return retries_;
    }
    std::uint64_t hedges() const
    {
        return hedges_;
    }

private:
    struct Waiting
    {
        FakeCall call_;
        std::function<void(const ClientAnswer &answer)> respond_;
    };
    struct ServerContext
    {
        ServerDispatcher dispatcher_;
        std::map<Ticket, Waiting> waiting_;
        bool isProbing_ = false;
    };
    struct PendingHistory
    {
        ServerKey server_;
        std::vector<RangeHistory> histories_;
        ServerHandoverState handoverState_;
    };
    struct RequestContext
    {
        ClientRequest request_;
        std::function<void(const ClientAnswer &answer)> respond_;
        TimePoint startedAt_;
        TimePoint deadline_;
        int attempts_ = 0;
        int outstanding_ = 0;
        Execution worst_ = Execution::NotRun;
        ServerId lastServer_;
        std::vector<std::pair<FakeCall, std::string>> calls_;
        IdOrigin idOrigin_ = IdOrigin::Caller;
    };
    struct ServiceState
    {
        TargetSelector selector_;
        HedgePolicy hedge_;
    };

    Now now() const;
    void after(Duration delay, std::function<void()> task);
    void tick();
    void publish();
    void execute(const Action &action);
    void receiveStoreResponse(const StoreResponse &response);
    void updateServerContexts();
    void applyHistories(const ServerKey &key, ServerContext &serverContext, const ServiceRecord &record);
    void probeServers();
    void handleProbeEnd(const ServerKey &key,
                        bool isAnswered,
                        bool isAccepted,
                        std::uint32_t running,
                        const ServerContact &contact,
                        std::optional<FencingToken> token,
                        TimePoint startedAt);
    DispatchRights rightsFor(const FakeCall &call) const;
    void write(const ServerKey &server, Ticket ticket, const FakeCall &call, const std::function<void(const ClientAnswer &answer)> &respond);
    void takeEvents(const ServerKey &server, ServerContext &serverContext);
    void attempt(std::uint64_t id);
    void send(std::uint64_t id, const RoutePlan &plan);
    void hedgeLater(std::uint64_t id, const ServerId &first);
    void attemptEnded(std::uint64_t id, const RoutePlan &plan, TimePoint sentAt, const ClientAnswer &answer);
    void finishRequest(std::uint64_t id, const ClientAnswer &answer);
    void reportLoads();

    Simulation &simulation_;
    InstanceId id_;
    DomainId domain_;
    std::mt19937_64 random_;
    // The offset and the rate of the machine's monotonic clock relative to simulated time.
    Duration clockOffset_;
    double clockRate_;
    std::uint64_t process_ = 0;
    std::uint64_t lastProcess_ = 0;
    UnixMilliseconds startedAt_ = 0;
    bool isPaused_ = false;
    std::vector<std::function<void()>> pausedTasks_;
    std::unique_ptr<Coordinator> coordinator_;
    std::shared_ptr<const RoutingTable> table_;
    std::map<ServerKey, ServerContext> serverContexts_;
    std::map<ChangeId, std::vector<PendingHistory>> histories_;
    std::map<std::uint64_t, RequestContext> requestContexts_;
    std::uint64_t lastRequestContext_ = 0;
    std::map<ServiceKey, ServiceState> services_;
    std::map<CustomerId, RetryBudget> budgets_;
    std::map<std::uint64_t, std::pair<ServerKey, Ticket>> attempts_;
    std::uint64_t retries_ = 0;
    std::uint64_t hedges_ = 0;
    TimePoint nextLoads_;
};

} // namespace Goldcrestwall
