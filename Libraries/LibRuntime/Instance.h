// One running instance.
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
    // How many requests from other instances may be dispatched at once, waiting ones included.
    std::size_t dispatchThreads_ = 256;
    // How long a planned stop may take.
    Duration stopTimeout_ = 20s;

    bool operator==(const InstanceSettings &) const = default;
};

// Owns the packages of one process and connects them.
class Instance
{
public:
    // Errors: InvalidSetting when an address cannot be bound.
    static Result<std::unique_ptr<Instance>> create(InstanceSettings settings);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    // Stops as planned: servers are handed over while requests go on, then the membership ends, then callers are turned away and
    // the requests in progress end. Returns whether all of that was done in time.
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
