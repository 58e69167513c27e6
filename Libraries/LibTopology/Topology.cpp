// Look-ups in the routing configuration.
#include "Topology.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

const Service *RoutingConfiguration::service(const std::string &name) const
{
    const auto found = std::ranges::find(services_, name, &Service::name_);
    return found == services_.end() ? nullptr : &*found;
}

const Route *RoutingConfiguration::route(const std::string &host, const std::string &path) const
{
    const Route *best = nullptr;
    for (const auto &route : routes_) {
        if (route.host_ == host && path.starts_with(route.prefix_) && (best == nullptr || route.prefix_.size() > best->prefix_.size())) {
            best = &route;
        }
    }
    return best;
}

} // namespace Goldcrestwall::Gateway
