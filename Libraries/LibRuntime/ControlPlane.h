// Runs the coordinator: timer ticks, control messages and store calls.
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

// Owns the coordinator and serializes access to it. Its mutex comes first in the lock order (see DispatchTable).
class ControlPlane
{
public:
    ControlPlane(const CoordinatorSettings &settings, StoreSettings store, RoutingView &view, DispatchTable &dispatchers, MetricRegistry &metrics);
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    // Starts the threads; messages are sent over `transport`.
    void start(PeerTransport &transport);
    // Stops the threads. For a planned stop, call leave() before and wait until hasLeft() returns true.
    void stop();

    void handleControl(const std::string &body);
    void handleHistory(const std::string &body);

    void leave();
    bool hasLeft();

    // Calls `use(coordinator, now)` with the mutex held, then publishes the routing table and executes the resulting actions.
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
    // Publishes the routing table and executes the collected actions. Called after every input, with the mutex held.
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
