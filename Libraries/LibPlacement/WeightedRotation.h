// Distributes the requests of a route over its services.
#pragma once

#include <LibTopology/LibTopology.h>

#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Smooth weighted round robin: in each full round every service gets exactly its weight in requests, interleaved with the others.
class WeightedRotation
{
public:
    // Returns the service of the next request; `services` must not be empty.
    const std::string &next(const std::vector<WeightedService> &services);

private:
    std::vector<WeightedService> services_;
    std::vector<std::int64_t> credits_;
};

} // namespace Goldcrestwall::Gateway
