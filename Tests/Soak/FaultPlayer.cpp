// Carries out the faults of a series at their times.
#include "FaultPlayer.h"

#include <csignal>
#include <map>
#include <thread>

namespace Goldcrestwall::Soak {

namespace {

constexpr Duration KillTime = 5s;
constexpr std::array Domains{"north", "south"};

// Whether new connections do not work as usual.
bool concernsNewConnections(LinkFault fault)
{
    return fault != LinkFault::Silent && fault != LinkFault::Reset;
}

struct Step
{
    std::size_t action_ = 0;
    bool isEnd_ = false;
};

} // namespace

std::string pathOfRoute(std::size_t route)
{
    return "/r" + std::to_string(route) + "/";
}

FaultPlayer::FaultPlayer(OnPlatform::Deployment &deployment)
    : deployment_(deployment)
{
}

void FaultPlayer::play(const std::vector<FaultAction> &series)
{
    auto actions = series;
    std::multimap<Duration, Step> steps;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        steps.emplace(actions[i].at_, Step{i, false});
        if (actions[i].length_ > Duration::zero()) {
            steps.emplace(actions[i].at_ + actions[i].length_, Step{i, true});
        }
    }
    std::vector<bool> isPlayed(actions.size());
    record_.startedAt_ = monotonicNow();
    record_.story_.push_back("began at Unix millisecond " + std::to_string(unixNow()));
    for (const auto &[at, step] : steps) {
        std::this_thread::sleep_for(std::chrono::microseconds(record_.startedAt_ + at - monotonicNow()));
        FaultAction &action = actions[step.action_];
        if (step.isEnd_) {
            if (isPlayed[step.action_]) {
                end(action);
            }
            continue;
        }
        std::string line = describe(action);
        isPlayed[step.action_] = resolveTarget(action);
        if (isPlayed[step.action_]) {
            begin(action);
        }
        line += isPlayed[step.action_] ? " (" + (action.target_ ? std::to_string(*action.target_) : "all") + ")" : " (left out: not running)";
        record_.story_.push_back(std::move(line));
    }
}

bool FaultPlayer::resolveTarget(FaultAction &action)
{
    const bool concernsProcess = action.kind_ == FaultKind::PauseInstance || action.kind_ == FaultKind::KillInstance || action.kind_ == FaultKind::StopInstance
        || action.kind_ == FaultKind::ReloadSettings;
    if (!concernsProcess) {
        return true;
    }
    const auto *coordinator = action.target_ ? nullptr : deployment_.coordinator("sharded");
    for (std::size_t i = 0; i < deployment_.instanceCount() && !action.target_; ++i) {
        if (&deployment_.instance(i) == coordinator) {
            action.target_ = i;
        }
    }
    // A process that was told to stop is not killed, paused or told again before it has been started anew.
    return action.target_ && deployment_.instance(*action.target_).isRunning()
        && record_.isCalm(Subject::PlannedStop, *action.target_, monotonicNow(), monotonicNow());
}

void FaultPlayer::begin(FaultAction &action)
{
    const std::size_t target = action.target_.value_or(0);
    switch (action.kind_) {
    case FaultKind::PauseInstance:
        open(Subject::Process, target);
        deployment_.instance(target).signal(SIGSTOP);
        break;
    case FaultKind::KillInstance:
        open(Subject::Process, target);
        endProcess(target, SIGKILL);
        break;
    case FaultKind::StopInstance:
        open(Subject::PlannedStop, target);
        deployment_.instance(target).signal(SIGTERM);
        break;
    case FaultKind::ReloadSettings:
        deployment_.instance(target).signal(SIGHUP);
        break;
    case FaultKind::StoreLink:
        for (const auto instance : instancesOf(action)) {
            if (concernsNewConnections(action.link_)) {
                open(Subject::StoreLink, instance);
            }
            beginLink(deployment_.storeProxy(instance), action);
        }
        break;
    case FaultKind::ServerLink:
        open(Subject::Server, target);
        if (concernsNewConnections(action.link_)) {
            open(Subject::ServerLink, target);
        } else {
            // Requests on the connections fail for some time.
            close(Subject::Server, target);
        }
        beginLink(serverProxy(target), action);
        break;
    case FaultKind::Store:
        open(Subject::Store, 0);
        deployment_.store().setFault(action.storeFault_);
        break;
    case FaultKind::RestartServer:
        open(Subject::Server, target);
        open(Subject::ServerLink, target);
        server(target).restart();
        serverProxy(target).setRefusing(true);
        serverProxy(target).resetOpenConnections();
        break;
    case FaultKind::DrainServer:
        server(target).registerEntry("draining");
        record_.leavings_.push_back({target, monotonicNow()});
        break;
    case FaultKind::RemoveServerEntry:
        server(target).removeEntry();
        record_.leavings_.push_back({target, monotonicNow()});
        break;
    case FaultKind::SilenceServer:
        open(Subject::Server, target);
        server(target).setFault(PlatformServerFault::Unresponsive);
        break;
    case FaultKind::ChangeRoute:
        changeRoute(action);
        break;
    case FaultKind::EvacuateDomain:
        deployment_.store().put(std::string("op/evacuate/") + Domains[target], "{}");
        record_.evacuations_.push_back({target, monotonicNow()});
        break;
    }
}

void FaultPlayer::end(const FaultAction &action)
{
    const std::size_t target = action.target_.value_or(0);
    switch (action.kind_) {
    case FaultKind::PauseInstance:
        deployment_.instance(target).signal(SIGCONT);
        close(Subject::Process, target);
        break;
    case FaultKind::KillInstance:
        startProcess(target);
        close(Subject::Process, target);
        break;
    case FaultKind::StopInstance:
        endProcess(target, SIGKILL);
        startProcess(target);
        close(Subject::PlannedStop, target);
        break;
    case FaultKind::StoreLink:
        for (const auto instance : instancesOf(action)) {
            endLink(deployment_.storeProxy(instance), action);
            close(Subject::StoreLink, instance);
        }
        break;
    case FaultKind::ServerLink:
        endLink(serverProxy(target), action);
        close(Subject::ServerLink, target);
        close(Subject::Server, target);
        break;
    case FaultKind::Store:
        deployment_.store().setFault(PlatformStoreFault::None);
        close(Subject::Store, 0);
        break;
    case FaultKind::RestartServer:
        serverProxy(target).setRefusing(false);
        startServerAnew(target);
        close(Subject::ServerLink, target);
        close(Subject::Server, target);
        break;
    case FaultKind::DrainServer:
    case FaultKind::RemoveServerEntry:
        open(Subject::Server, target);
        startServerAnew(target);
        close(Subject::Server, target);
        break;
    case FaultKind::SilenceServer:
        server(target).setFault(PlatformServerFault::None);
        close(Subject::Server, target);
        break;
    case FaultKind::EvacuateDomain:
        std::ranges::find_if(record_.evacuations_, [&](const AcknowledgedPeriod &period) {
            return period.index_ == target && period.until_ == TimePoint::max();
        })->until_ = monotonicNow();
        deployment_.store().remove(std::string("op/evacuate/") + Domains[target]);
        break;
    case FaultKind::ReloadSettings:
    case FaultKind::ChangeRoute:
        break;
    }
}

void FaultPlayer::beginLink(LoopbackProxy &proxy, const FaultAction &action)
{
    switch (action.link_) {
    case LinkFault::Silent:
        proxy.silenceOpenConnections(action.direction_);
        break;
    case LinkFault::Held:
        proxy.hold(action.direction_);
        break;
    case LinkFault::Delayed:
        proxy.setDelay(action.delay_);
        break;
    case LinkFault::Refusing:
        proxy.setRefusing(true);
        [[fallthrough]];
    case LinkFault::Reset:
        proxy.resetOpenConnections();
        break;
    }
}

void FaultPlayer::endLink(LoopbackProxy &proxy, const FaultAction &action)
{
    switch (action.link_) {
    case LinkFault::Held:
        proxy.resume();
        break;
    case LinkFault::Delayed:
        proxy.setDelay(Duration::zero());
        break;
    case LinkFault::Refusing:
        proxy.setRefusing(false);
        break;
    case LinkFault::Silent:
    case LinkFault::Reset:
        break;
    }
}

void FaultPlayer::endProcess(std::size_t instance, int signal)
{
    auto &process = deployment_.instance(instance);
    if (process.isRunning()) {
        process.signal(signal);
        process.wait(KillTime);
    }
}

void FaultPlayer::startProcess(std::size_t instance)
{
    if (!deployment_.instance(instance).isRunning()) {
        deployment_.instance(instance).start();
    }
}

void FaultPlayer::startServerAnew(std::size_t index)
{
    for (auto &period : record_.leavings_) {
        if (period.index_ == index && period.until_ == TimePoint::max()) {
            period.until_ = monotonicNow();
        }
    }
    serverProxy(index).resetOpenConnections();
    server(index).restart();
    server(index).registerEntry();
}

void FaultPlayer::changeRoute(const FaultAction &action)
{
    routes_[*action.target_] = action.routeState_;
    std::string routes;
    for (std::size_t i = 0; i < routes_.size(); ++i) {
        if (routes_[i] != RouteState::Absent) {
            routes += R"({"resourceType":"routes","metadata":{"name":"r-changing-)" + std::to_string(i) + R"("},"spec":{"host":")" + ChangingHost
                + R"(","prefix":")" + pathOfRoute(i) + R"(","kind":"idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":")"
                + (routes_[i] == RouteState::Plain ? "plain" : "sharded") + R"(","maxAttempts":2}},)";
        }
    }
    const TimePoint sentAt = monotonicNow();
    deployment_.putConfiguration(routes);
    record_.routeChanges_.push_back({*action.target_, action.routeState_, sentAt, monotonicNow()});
}

void FaultPlayer::open(Subject subject, std::size_t index)
{
    record_.disturbances_.push_back({subject, index, monotonicNow()});
}

void FaultPlayer::close(Subject subject, std::size_t index)
{
    // Faults of one subject may overlap; the longest one is still open then.
    const auto opened = std::ranges::find_if(record_.disturbances_, [&](const Disturbance &disturbance) {
        return disturbance.subject_ == subject && disturbance.index_ == index && disturbance.until_ == TimePoint::max();
    });
    opened->until_ = monotonicNow();
}

std::vector<std::size_t> FaultPlayer::instancesOf(const FaultAction &action) const
{
    std::vector<std::size_t> instances;
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
        if (!action.target_ || *action.target_ == i) {
            instances.push_back(i);
        }
    }
    return instances;
}

PlatformServerStandIn &FaultPlayer::server(std::size_t index)
{
    constexpr std::size_t PlainCount = ServerCount / 2;
    return index < PlainCount ? deployment_.plain(index) : deployment_.sharded(index - PlainCount);
}

LoopbackProxy &FaultPlayer::serverProxy(std::size_t index)
{
    constexpr std::size_t PlainCount = ServerCount / 2;
    return index < PlainCount ? deployment_.plainProxy(index) : deployment_.shardedProxy(index - PlainCount);
}

} // namespace Goldcrestwall::Soak
