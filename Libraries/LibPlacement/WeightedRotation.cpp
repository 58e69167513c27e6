// Smooth weighted round robin over the services of a route.
#include "WeightedRotation.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

const std::string &WeightedRotation::next(const std::vector<WeightedService> &services)
{
    if (services.size() == 1) {
        return services.front().service_;
    }
    if (services_ != services) {
        services_ = services;
        credits_.assign(services.size(), 0);
    }
    std::int64_t total = 0;
    for (std::size_t i = 0; i < services_.size(); ++i) {
        credits_[i] += services_[i].weight_;
        total += services_[i].weight_;
    }
    const auto best = std::ranges::max_element(credits_);
    *best -= total;
    return services_[static_cast<std::size_t>(best - credits_.begin())].service_;
}

} // namespace Goldcrestwall::Gateway
