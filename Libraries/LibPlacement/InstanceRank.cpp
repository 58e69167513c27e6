#include "LeaderRank.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

std::size_t leaderRank(const std::string &service, const std::string &instance, const std::vector<std::string> &instances)
{
    const auto own = rendezvousWeight(service, instance);
    return static_cast<std::size_t>(std::ranges::count_if(instances, [&](const std::string &other) {
        return other != instance && rendezvousWeight(service, other) > own;
    }));
}

} // namespace Goldcrestwall::Gateway
