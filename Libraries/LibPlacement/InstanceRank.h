// Orders the instances that may coordinate a service.
#pragma once

#include <LibBase/LibBase.h>

#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// How many of the instances come before this one for the service (rendezvous hashing), so that services spread over instances and
// only few instances try for one service at the same moment.
std::size_t leaderRank(const std::string &service, const std::string &instance, const std::vector<std::string> &instances);

} // namespace Goldcrestwall::Gateway
