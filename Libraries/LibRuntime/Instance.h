// One running instance of the router.
#pragma once

#include <LibRuntime/ControlPlane.h>
#include <LibRuntime/EntryRole.h>

namespace Goldcrestwall {

// The settings of an instance.
struct InstanceSettings
{
    std::string callerAddress_;
    std::string peerAddress_;
    std::string operatorAddress_;
    StoreSettings store_;
    CoordinatorSettings coordinator_;
    CallerLimits caller_;
    PeerTimeouts peer_;
    // Maximum number of requests from other instances that are dispatched concurrently, including queued ones.
    std::size_t dispatchThreads_ = 256;
    // Time-out of a planned stop.
    Duration stopTimeout_ = 20s;

    bool operator==(const InstanceSettings &) const = default;
};

// Owns the components of one instance and connects them.
class Instance
{
public:
    // Errors: InvalidSetting when an address cannot be bound.
    static Result<std::unique_ptr<Instance>> create(InstanceSettings settings);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    // Planned stop: hands over the servers while requests continue, ends the membership, stops accepting callers and waits for the
    // requests in flight. Returns whether all of this was done within the time-out.
    bool stopGracefully();

    ControlPlane &control()
    {
        return *control_;
    }
    DispatchTable &dispatchers()
    {
        return dispatchers_;
    }
    EntryRole &entry()
    {
        return *entry_;
    }
    MetricRegistry &metrics()
    {
        return metrics_;
    }
    const RoutingView &view() const
    {
        return view_;
    }
    const InstanceSettings &settings() const
    {
        return settings_;
    }
    PeerCounters peerCounters() const
    {
        return transport_->counters();
    }

private:
    explicit Instance(InstanceSettings settings);

    std::error_code start();
    void handlePeer(PeerChannel channel, std::string body, PeerTransport::Responder respond);

    InstanceSettings settings_;
    MetricRegistry metrics_;
    RoutingView view_;
    DispatchTable dispatchers_;
    std::unique_ptr<ControlPlane> control_;
    std::unique_ptr<EntryRole> entry_;
    boost::asio::thread_pool dispatchThreads_;
    std::unique_ptr<PeerTransport> transport_;
    std::unique_ptr<CallerServer> callers_;
};

} // namespace Goldcrestwall
