// Lets the store of a deployment come back from an older copy of its content, and watches what its instances do about it.
#pragma once

#include "Deployment.h"

#include <mutex>
#include <thread>

namespace Goldcrestwall::OnPlatform {

// How the store goes away and comes back from the copy that was taken last.
struct StoreReturn
{
    PlatformStoreFault absence_ = PlatformStoreFault::Down;
    Duration absentFor_ = 800ms;
    RestoredLeases leases_ = RestoredLeases::Renewed;
    // Otherwise it states no era from now on.
    bool statesEra_ = true;
};

// Returns the time at which the store was back. What was written meanwhile is gone, too.
TimePoint comeBackFromCopy(Deployment &deployment, const StoreReturn &how = {});

// Lets all servers of a deployment that have an entry write it again at intervals.
class Heartbeats
{
public:
    static constexpr Duration Interval = 870ms;

    explicit Heartbeats(Deployment &deployment);
    ~Heartbeats();
    Heartbeats(const Heartbeats &) = delete;
    Heartbeats &operator=(const Heartbeats &) = delete;

private:
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

// A request for a path whose route is in some of the configurations.
struct RouteCall
{
    std::size_t instance_ = 0;
    std::string path_;
    int status_ = 0;
    TimePoint sentAt_;
    TimePoint endedAt_;

    auto operator<=>(const RouteCall &) const = default;
};

// Callers that ask each instance for some paths on and on.
class RouteWatch
{
public:
    RouteWatch(Deployment &deployment, const std::vector<std::string> &paths);
    ~RouteWatch();
    RouteWatch(const RouteWatch &) = delete;
    RouteWatch &operator=(const RouteWatch &) = delete;

    void stop();
    std::vector<RouteCall> calls() const;

private:
    void run(Deployment &deployment, std::size_t instance, const std::string &path);

    std::atomic<bool> isStopped_ = false;
    mutable std::mutex mutex_;
    std::vector<RouteCall> calls_;
    std::vector<std::thread> callers_;
};

} // namespace Goldcrestwall::OnPlatform
