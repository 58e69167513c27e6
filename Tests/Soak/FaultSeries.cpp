// Draws and describes series of faults.
#include "FaultSeries.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <random>

namespace Goldcrestwall::Soak {

namespace {

constexpr Duration FirstFaultAt = 500ms;
constexpr Duration LongestPauseBetweenGroups = 3s;
constexpr Duration LongestPauseInGroup = 700ms;
constexpr std::uint64_t LargestGroup = 6;
// A process has 6 s from SIGTERM to its end.
constexpr Duration StopTime = 6500ms;
constexpr Duration ShortestEvacuation = 6s;
constexpr Duration ShortestLeaving = 3s;
constexpr int MaxDraws = 20;

struct WeightedKind
{
    FaultKind kind_;
    std::uint64_t weight_;
};

constexpr std::array Kinds{
    WeightedKind{FaultKind::PauseInstance, 8},
    WeightedKind{FaultKind::KillInstance, 6},
    WeightedKind{FaultKind::StopInstance, 5},
    WeightedKind{FaultKind::ReloadSettings, 2},
    WeightedKind{FaultKind::StoreLink, 14},
    WeightedKind{FaultKind::ServerLink, 20},
    WeightedKind{FaultKind::Store, 2},
    WeightedKind{FaultKind::RestartServer, 4},
    WeightedKind{FaultKind::DrainServer, 6},
    WeightedKind{FaultKind::RemoveServerEntry, 4},
    WeightedKind{FaultKind::SilenceServer, 3},
    WeightedKind{FaultKind::ChangeRoute, 25},
    WeightedKind{FaultKind::EvacuateDomain, 3},
};

class Drawer
{
public:
    Drawer(std::uint64_t seed, std::size_t instances, Duration length)
        : random_(seed)
        , instances_(instances)
        , length_(length)
    {
    }

    std::vector<FaultAction> draw()
    {
        Duration at = FirstFaultAt;
        while (at < length_) {
            const std::uint64_t count = 1 + below(LargestGroup);
            for (std::uint64_t i = 0; i < count; ++i) {
                addAction(at);
                at += drawTime(Duration::zero(), LongestPauseInGroup);
            }
            at += drawTime(Duration::zero(), LongestPauseBetweenGroups);
        }
        return std::move(actions_);
    }

private:
    std::uint64_t below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    Duration drawTime(Duration shortest, Duration longest)
    {
        return shortest + Duration(static_cast<Duration::rep>(below(static_cast<std::uint64_t>((longest - shortest).count()) + 1)));
    }

    FaultKind drawKind()
    {
        std::uint64_t total = 0;
        for (const auto &kind : Kinds) {
            total += kind.weight_;
        }
        std::uint64_t number = below(total);
        for (const auto &kind : Kinds) {
            if (number < kind.weight_) {
                return kind.kind_;
            }
            number -= kind.weight_;
        }
        return FaultKind::PauseInstance;
    }

    // Adds an action at a time; none if all that are drawn would meet another of the kind or last too long.
    void addAction(Duration at)
    {
        for (int i = 0; i < MaxDraws; ++i) {
            FaultAction action;
            action.at_ = at;
            action.kind_ = drawKind();
            fill(action);
            auto &busyUntil = busyUntil_[{group(action.kind_), action.target_}];
            if (at < busyUntil || at + action.length_ > length_) {
                continue;
            }
            busyUntil = at + action.length_;
            if (action.kind_ == FaultKind::ChangeRoute) {
                routes_[*action.target_] = action.routeState_;
            }
            actions_.push_back(action);
            return;
        }
    }

    // Kinds of the same group exclude each other at the same target.
    static FaultKind group(FaultKind kind)
    {
        switch (kind) {
        case FaultKind::StopInstance:
            return FaultKind::KillInstance;
        case FaultKind::DrainServer:
        case FaultKind::RemoveServerEntry:
            return FaultKind::RestartServer;
        default:
            return kind;
        }
    }

    std::optional<std::size_t> drawInstance()
    {
        return below(2) == 0 ? std::nullopt : std::make_optional<std::size_t>(below(instances_));
    }

    void fill(FaultAction &action)
    {
        switch (action.kind_) {
        case FaultKind::PauseInstance:
            action.target_ = drawInstance();
            action.length_ = drawTime(200ms, 5s);
            break;
        case FaultKind::KillInstance:
            action.target_ = drawInstance();
            action.length_ = drawTime(50ms, 4s);
            break;
        case FaultKind::StopInstance:
            action.target_ = drawInstance();
            action.length_ = StopTime;
            break;
        case FaultKind::ReloadSettings:
            action.target_ = below(instances_);
            break;
        case FaultKind::StoreLink:
            action.target_ = drawInstance();
            fillLink(action);
            break;
        case FaultKind::ServerLink:
            action.target_ = below(ServerCount);
            fillLink(action);
            break;
        case FaultKind::Store:
            action.storeFault_ = std::array{PlatformStoreFault::Down, PlatformStoreFault::Unresponsive, PlatformStoreFault::Busy}[below(3)];
            action.length_ = drawTime(300ms, 2500ms);
            break;
        case FaultKind::RestartServer:
            action.target_ = below(ServerCount);
            action.length_ = drawTime(50ms, 2s);
            break;
        case FaultKind::DrainServer:
        case FaultKind::RemoveServerEntry:
            action.target_ = below(ServerCount);
            action.length_ = drawTime(ShortestLeaving, 7s);
            break;
        case FaultKind::SilenceServer:
            action.target_ = below(ServerCount);
            action.length_ = drawTime(300ms, 3s);
            break;
        case FaultKind::ChangeRoute:
            action.target_ = below(RouteCount);
            // Any state but the present one.
            action.routeState_ = static_cast<RouteState>((static_cast<std::uint64_t>(routes_[*action.target_]) + 1 + below(2)) % 3);
            break;
        case FaultKind::EvacuateDomain:
            action.target_ = below(DomainCount);
            action.length_ = drawTime(ShortestEvacuation, 9s);
            break;
        }
    }

    void fillLink(FaultAction &action)
    {
        action.link_ = std::array{LinkFault::Silent,
                                  LinkFault::Silent,
                                  LinkFault::Held,
                                  LinkFault::Held,
                                  LinkFault::Held,
                                  LinkFault::Delayed,
                                  LinkFault::Reset,
                                  LinkFault::Refusing}[below(8)];
        action.direction_ = std::array{ProxyDirection::Both, ProxyDirection::ToTarget, ProxyDirection::FromTarget}[below(3)];
        if (action.link_ == LinkFault::Delayed) {
            action.delay_ = drawTime(10ms, 400ms);
        }
        if (action.link_ != LinkFault::Silent && action.link_ != LinkFault::Reset) {
            action.length_ = drawTime(200ms, 4s);
        }
    }

    std::mt19937_64 random_;
    std::size_t instances_;
    Duration length_;
    std::vector<FaultAction> actions_;
    std::map<std::pair<FaultKind, std::optional<std::size_t>>, Duration> busyUntil_;
    std::array<RouteState, RouteCount> routes_{};
};

std::string describeLink(const FaultAction &action)
{
    static constexpr std::array Directions{" to the target", " from the target", ""};
    const std::string direction = Directions[static_cast<std::size_t>(action.direction_)];
    switch (action.link_) {
    case LinkFault::Silent:
        return "open connections fall silent" + direction;
    case LinkFault::Held:
        return "bytes are held" + direction;
    case LinkFault::Delayed:
        return "bytes are delayed by " + std::to_string(action.delay_ / 1ms) + " ms";
    case LinkFault::Reset:
        return "open connections are reset";
    case LinkFault::Refusing:
        return "connections are reset and refused";
    }
    return {};
}

std::string describeKind(const FaultAction &action)
{
    const auto target = [&action](const char *name, const char *otherwise) {
        return action.target_ ? name + std::to_string(*action.target_) : otherwise;
    };
    static constexpr std::array StateNames{"absent", "to plain", "to sharded"};
    switch (action.kind_) {
    case FaultKind::PauseInstance:
        return "pause " + target("edge-", "the coordinator");
    case FaultKind::KillInstance:
        return "kill and start " + target("edge-", "the coordinator");
    case FaultKind::StopInstance:
        return "SIGTERM and start " + target("edge-", "the coordinator");
    case FaultKind::ReloadSettings:
        return "SIGHUP " + target("edge-", "");
    case FaultKind::StoreLink:
        return "store link of " + target("edge-", "all instances") + ": " + describeLink(action);
    case FaultKind::ServerLink:
        return "link of " + nameOfServer(*action.target_) + ": " + describeLink(action);
    case FaultKind::Store:
        return action.storeFault_ == PlatformStoreFault::Down ? "store down"
            : action.storeFault_ == PlatformStoreFault::Busy  ? "store rejects calls"
                                                              : "store does not respond";
    case FaultKind::RestartServer:
        return "restart " + nameOfServer(*action.target_);
    case FaultKind::DrainServer:
        return nameOfServer(*action.target_) + " drains and starts anew";
    case FaultKind::RemoveServerEntry:
        return nameOfServer(*action.target_) + " loses its entry and starts anew";
    case FaultKind::SilenceServer:
        return nameOfServer(*action.target_) + " does not respond";
    case FaultKind::ChangeRoute:
        return "route " + std::to_string(*action.target_) + " " + StateNames[static_cast<std::size_t>(action.routeState_)];
    case FaultKind::EvacuateDomain:
        return "evacuate domain " + std::to_string(*action.target_);
    }
    return {};
}

} // namespace

std::vector<FaultAction> drawFaultSeries(std::uint64_t seed, std::size_t instances, Duration length)
{
    return Drawer(seed, instances, length).draw();
}

std::string nameOfServer(std::size_t index)
{
    constexpr std::size_t PlainCount = ServerCount / 2;
    return index < PlainCount ? "p-" + std::to_string(index) : "s-" + std::to_string(index - PlainCount);
}

std::string formatSeconds(Duration time)
{
    char text[32];
    std::snprintf(text, sizeof text, "%7.3f s", std::chrono::duration<double>(time).count());
    return text;
}

std::string describe(const FaultAction &action)
{
    const std::string start = formatSeconds(action.at_) + "  " + describeKind(action);
    return action.length_ == Duration::zero() ? start : start + ", until" + formatSeconds(action.at_ + action.length_);
}

} // namespace Goldcrestwall::Soak
