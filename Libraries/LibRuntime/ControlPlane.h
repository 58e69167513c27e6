// Runs the coordinator: its clock, its messages, its store calls.
#pragma once

#include <LibPeer/LibPeer.h>
#include <LibPlatform/LibPlatform.h>
#include <LibRuntime/DispatchTable.h>
#include <LibRuntime/RoutingView.h>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <mutex>
#include <thread>

namespace Goldcrestwall {

// Owns the coordinator and serializes access to it. Its mutex is the first in the lock order.
class ControlPlane
{
public:
    ControlPlane(const CoordinatorSettings &settings, StoreSettings store, RoutingView &view, DispatchTable &dispatchers, MetricRegistry &metrics);
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    // Starts the threads; messages go out through `transport`.
    void start(PeerTransport &transport);
    // Stops the threads. A planned stop calls leave() first and waits for hasLeft().
    void stop();

    void handleControl(const std::string &body);
    void handleHistory(const std::string &body);

    void leave();
    bool hasLeft();

    // Calls `use(coordinator, now)` under the control plane's mutex, then carries out what it caused.
    template<typename Use>
    auto access(Use use)
    {
        const std::lock_guard lock(mutex_);
        const Now now{monotonicNow(), unixNow()};
        if constexpr (std::is_void_v<decltype(use(coordinator_, now))>) {
            use(coordinator_, now);
            publish(now);
        } else {
            auto result = use(coordinator_, now);
            publish(now);
            return result;
        }
    }

private:
    void runTicks();
    void runProbes();
    void runInstanceList();
    // Publishes the routing table and carries out the collected actions. Called with the mutex held after every input.
    void publish(Now now);
    void execute(const Action &action);
    template<typename Call>
    void callStore(Call call);
    void sleepUnlessStopping(Duration duration) const;

    std::mutex mutex_;
    Coordinator coordinator_;
    std::string address_;
    StoreSettings storeSettings_;
    RoutingView &view_;
    DispatchTable &dispatchers_;
    MetricRegistry &metrics_;
    PeerTransport *transport_ = nullptr;
    std::shared_ptr<const RoutingTable> published_;
    std::vector<Envelope> loopback_;
    boost::asio::thread_pool storeThreads_;
    std::atomic<bool> isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace Goldcrestwall
