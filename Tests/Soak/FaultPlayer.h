// Plays a series of faults on a deployment.
#pragma once

#include "PlayRecord.h"

#include <Tests/OnPlatform/Deployment.h>

#include <array>

namespace Goldcrestwall::Soak {

// The host of the routes that change, and the path of one of them.
constexpr const char *ChangingHost = "changes.example";
std::string pathOfRoute(std::size_t route);

class FaultPlayer
{
public:
    explicit FaultPlayer(OnPlatform::Deployment &deployment);

    // Returns after the end of the last fault. All instances run then.
    void play(const std::vector<FaultAction> &actions);
    const PlayRecord &record() const
    {
        return record_;
    }

private:
    void begin(FaultAction &action);
    void end(const FaultAction &action);
    void beginLink(LoopbackProxy &proxy, const FaultAction &action);
    static void endLink(LoopbackProxy &proxy, const FaultAction &action);
    void endProcess(std::size_t instance, int signal);
    void startProcess(std::size_t instance);
    void startServerAnew(std::size_t server);
    void changeRoute(const FaultAction &action);
    // Finds the coordinator for a fault that concerns it. Returns false if the fault cannot be played now.
    bool resolveTarget(FaultAction &action);
    void open(Subject subject, std::size_t index);
    void close(Subject subject, std::size_t index);
    std::vector<std::size_t> instancesOf(const FaultAction &action) const;
    PlatformServerStandIn &server(std::size_t index);
    LoopbackProxy &serverProxy(std::size_t index);

    OnPlatform::Deployment &deployment_;
    PlayRecord record_;
    std::array<RouteState, RouteCount> routes_{};
};

} // namespace Goldcrestwall::Soak
