// Ranks instances as coordinators of services and as watchers of the store.
#include "InstanceRank.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace Goldcrestwall::Gateway {

namespace {

// How many times the coordinator's CPU time per service another instance must have to take over: a change of coordinator has a cost.
constexpr std::uint32_t MinTakeoverRatio = 2;

// Thousandths of a core per coordinated service if the instance took on one more.
std::uint32_t processorPerService(const InstanceProfile &instance)
{
    return instance.cpuMillicores_ / (instance.coordinatedServices_ + 1);
}

// The most suitable instance of a service has the highest value.
auto suitabilityFor(const std::string &service)
{
    return [&service](const InstanceProfile &instance) {
        return std::make_pair(processorPerService(instance), rendezvousWeight(service, instance.name_));
    };
}

} // namespace

std::vector<InstanceProfile> rankedInstances(const std::string &service, std::vector<InstanceProfile> instances)
{
    std::ranges::sort(instances, std::greater<>(), suitabilityFor(service));
    return instances;
}

std::string firstRankedInstance(const std::string &service, const std::vector<InstanceProfile> &instances)
{
    const auto first = std::ranges::max_element(instances, std::less<>(), suitabilityFor(service));
    return first == instances.end() ? std::string() : first->name_;
}

std::size_t coordinatorRank(const std::string &service, const std::string &instance, const std::vector<InstanceProfile> &instances)
{
    const auto suitability = suitabilityFor(service);
    const auto self = std::ranges::find(instances, instance, &InstanceProfile::name_);
    if (self == instances.end()) {
        return instances.size();
    }
    const auto own = suitability(*self);
    return static_cast<std::size_t>(std::ranges::count_if(instances, [&](const InstanceProfile &other) {
        return suitability(other) > own;
    }));
}

bool isMuchBetterCoordinator(const std::string &service,
                             const std::string &instance,
                             const std::string &coordinator,
                             const std::vector<InstanceProfile> &instances)
{
    const auto self = std::ranges::find(instances, instance, &InstanceProfile::name_);
    const auto present = std::ranges::find(instances, coordinator, &InstanceProfile::name_);
    if (self == instances.end() || present == instances.end() || coordinatorRank(service, instance, instances) > 0) {
        return false;
    }
    const std::uint32_t presentShare = present->cpuMillicores_ / std::max(1U, present->coordinatedServices_);
    return processorPerService(*self) > MinTakeoverRatio * presentShare;
}

std::map<std::string, std::string> watchersByDomain(const std::vector<InstanceProfile> &instances)
{
    const auto suitability = [](const InstanceProfile &each) {
        return std::make_tuple(each.coordinatedServices_ > 0, each.cpuMillicores_, rendezvousWeight(each.domain_, each.name_));
    };
    std::map<std::string, const InstanceProfile *> watchers;
    for (const auto &instance : instances) {
        auto &watcher = watchers[instance.domain_];
        if (watcher == nullptr || suitability(instance) > suitability(*watcher)) {
            watcher = &instance;
        }
    }
    std::map<std::string, std::string> names;
    for (const auto &[domain, watcher] : watchers) {
        names[domain] = watcher->name_;
    }
    return names;
}

} // namespace Goldcrestwall::Gateway
