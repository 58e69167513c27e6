// Disturbs the store of a deployment and calls its instances meanwhile.
#include "StoreReturn.h"

namespace Goldcrestwall::OnPlatform {

namespace {

constexpr std::size_t ServersOfService = 4;
constexpr auto CallPause = std::chrono::milliseconds(10);

} // namespace

TimePoint comeBackFromCopy(Deployment &deployment, const StoreReturn &how)
{
    auto &store = deployment.store();
    store.setFault(how.absence_);
    std::this_thread::sleep_for(std::chrono::microseconds(how.absentFor_));
    store.restoreCopy(how.leases_);
    if (!how.statesEra_) {
        store.setEra(0);
    }
    store.setFault(PlatformStoreFault::None);
    return monotonicNow();
}

Heartbeats::Heartbeats(Deployment &deployment)
    : thread_([this, &deployment] {
        std::vector<PlatformServerStandIn *> servers;
        for (std::size_t i = 0; i < ServersOfService; ++i) {
            servers.push_back(&deployment.plain(i));
            servers.push_back(&deployment.sharded(i));
        }
        // One after another, so that they are not all at the same time.
        for (std::size_t i = 0; !isStopped_; i = (i + 1) % servers.size()) {
            servers[i]->rewriteEntry();
            std::this_thread::sleep_for(std::chrono::microseconds(Interval) / servers.size());
        }
    })
{
}

Heartbeats::~Heartbeats()
{
    isStopped_ = true;
    thread_.join();
}

RouteWatch::RouteWatch(Deployment &deployment, const std::vector<std::string> &paths)
{
    for (std::size_t instance = 0; instance < deployment.instanceCount(); ++instance) {
        for (const auto &path : paths) {
            callers_.emplace_back([this, &deployment, instance, path] {
                while (!isStopped_) {
                    run(deployment, instance, path);
                    std::this_thread::sleep_for(CallPause);
                }
            });
        }
    }
}

RouteWatch::~RouteWatch()
{
    stop();
}

void RouteWatch::stop()
{
    isStopped_ = true;
    for (auto &caller : callers_) {
        if (caller.joinable()) {
            caller.join();
        }
    }
}

std::vector<RouteCall> RouteWatch::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

void RouteWatch::run(Deployment &deployment, std::size_t instance, const std::string &path)
{
    CallerRequest request;
    request.path_ = path;
    const TimePoint sentAt = monotonicNow();
    const auto answer = deployment.call(instance, request);
    const std::lock_guard lock(mutex_);
    calls_.push_back({instance, path, answer.status_, sentAt, monotonicNow()});
}

} // namespace Goldcrestwall::OnPlatform
