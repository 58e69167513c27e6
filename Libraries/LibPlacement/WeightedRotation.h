// Distributes the requests of a route over its services.
#pragma once

#include <LibTopology/LibTopology.h>

#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Smooth weighted round robin: after each full round every service has had exactly its weight, and no service gets its requests in
// one run.
class WeightedRotation
{
public:
    // The service of the next request; `services` is not empty.
    const std::string &next(const std::vector<WeightedService> &services);

private:
    std::vector<WeightedService> services_;
    std::vector<std::int64_t> credits_;
};

} // namespace Goldcrestwall::Gateway
