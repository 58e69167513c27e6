// The simulated environment of the instances: clients, network, store, backend servers and the platform's list.
#pragma once

#include <Tests/Harness/EventQueue.h>
#include <Tests/Harness/FakeInstance.h>
#include <Tests/Harness/FakeServer.h>
#include <Tests/Harness/FakeStore.h>

#include <memory>
#include <set>

namespace Goldcrestwall {

// The parameters of a simulation.
struct SimulationOptions
{
    std::vector<CustomerConfiguration> customers_;
    std::size_t instances_ = 6;
    std::vector<DomainId> instanceDomains_;
    Duration latency_ = 1ms;
    Duration serviceTime_ = 5ms;
    std::uint32_t warmupRequests_ = 12;
    EntryPolicy policy_ = EntryPolicy::Full;
    // Whether load balancing moves ranges. Off for the baseline.
    bool balances_ = true;
    double overloadFactor_ = 1.15;
};

// One submission of a request by a client, and its outcome.
struct Submission
{
    ClientRequest request_;
    InstanceId entry_;
    TimePoint submittedAt_;
    TimePoint endedAt_;
    bool hasEnded_ = false;
    // The process of the entry ended or did not respond: the client got no response before its time-out.
    bool isAbandoned_ = false;
    ClientAnswer answer_;
};

// An operator's action, for HistoryChecker.
struct OperatorAction
{
    enum class Kind {
        DomainOut,
        DomainBack,
        ServerDraining,
        ServerBack,
    };

    Kind kind_ = Kind::DomainOut;
    DomainId domain_;
    ServerId server_;
    // When the operator got the confirmation, and when the change took effect in the store.
    TimePoint acceptedAt_;
    TimePoint effectiveAt_;
};

// Owns all fakes. A run depends only on its options, its faults and its seed.
class Simulation
{
public:
    Simulation(SimulationOptions options, std::uint64_t seed);
    ~Simulation();

    EventQueue &events()
    {
        return events_;
    }
    FakeStore &store()
    {
        return store_;
    }
    const FakeStore &store() const
    {
        return store_;
    }
    const SimulationOptions &options() const
    {
        return options_;
    }
    FakeInstance &instance(std::size_t index)
    {
        return *instances_.at(index);
    }
    std::size_t instanceCount() const
    {
        return instances_.size();
    }
    FakeInstance *findInstance(const std::string &address);
    FakeServer &server(const ServerId &id)
    {
        return *servers_.at(id);
    }
    const std::map<ServerId, std::unique_ptr<FakeServer>> &servers() const
    {
        return servers_;
    }

    // Starts all instances, stores the configurations and waits until all servers have dispatchers and all slices have owners.
    void boot();
    void runFor(Duration duration);

    // Isolates a node from all others, or reconnects it. A node is an instance's address, a server's id or "store".
    void isolate(const std::string &node);
    void heal(const std::string &node);
    void healAll();
    bool canReach(const std::string &from, const std::string &to) const;
    Duration latency();

    // Delivers a message to an instance after the latency. It is lost if the two nodes are isolated from each other.
    void send(const std::string &from, const std::string &to, std::function<void(FakeInstance &)> deliver);
    // Calls a dispatcher. If the connection fails, the response contains what the caller can conclude from that.
    void call(const std::string &from, const std::string &to, const FakeCall &call, std::function<void(const ClientAnswer &answer)> respond);

    // Submits a request through a random entry that accepts connections. Returns the index of the submission.
    std::size_t submit(const ClientRequest &request, std::function<void(const Submission &submission)> ended = {});
    RequestId makeId();

    // Operators' actions, sent to a running instance and retried until they are accepted.
    void setDomainState(const CustomerId &customer, const DomainId &domain, DomainState state);
    void setServerState(const ServiceKey &service, const ServerId &server, ServerState state);

    // Counts control messages between different instances and their bytes.
    void recordMessage(std::size_t bytes)
    {
        ++messages_;
        messageBytes_ += bytes;
    }
    std::uint64_t messages() const
    {
        return messages_;
    }
    std::uint64_t messageBytes() const
    {
        return messageBytes_;
    }

    PlatformList platformList(TimePoint receivedAt) const;

    // For HistoryChecker.
    const std::vector<Submission> &submissions() const
    {
        return submissions_;
    }
    const std::vector<Run> &runs() const
    {
        return runs_;
    }
    const std::vector<OperatorAction> &operatorActions() const
    {
        return operatorActions_;
    }
    std::vector<std::string> &problems()
    {
        return problems_;
    }

private:
    void edit(const CustomerId &customer, const std::function<void(CustomerConfiguration &)> &change, const std::function<void(TimePoint)> &accepted);
    void refreshPlatformList();

    SimulationOptions options_;
    EventQueue events_;
    FakeStore store_;
    std::vector<Run> runs_;
    std::map<ServerId, std::unique_ptr<FakeServer>> servers_;
    std::vector<std::unique_ptr<FakeInstance>> instances_;
    std::set<std::string> isolated_;
    std::set<std::pair<std::string, std::string>> brokenLinks_;
    std::vector<Submission> submissions_;
    std::vector<OperatorAction> operatorActions_;
    std::vector<std::string> problems_;
    // The platform's list as the instances see it; it lags by one second.
    std::map<InstanceId, PlatformInstance> listed_;
    std::uint64_t lastTag_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t messageBytes_ = 0;
};

// One service that makeCustomer() configures.
struct ServicePlan
{
    std::string name_;
    ServiceKind kind_ = ServiceKind::Keyed;
    std::size_t servers_ = 6;
    std::uint32_t slots_ = 2;
    TokenChecking tokens_ = TokenChecking::Checks;
};
// Returns a customer with the given failure domains and services; the servers of each service are distributed over the domains.
CustomerConfiguration
makeCustomer(const std::string &name, const std::vector<std::string> &domains, const std::vector<ServicePlan> &services, SliceIndex slices);

} // namespace Goldcrestwall
