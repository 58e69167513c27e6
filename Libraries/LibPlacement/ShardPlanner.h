// Plans the assignment of keys to servers.
#pragma once

#include <LibPlacement/KeyLoad.h>

namespace Goldcrestwall::Gateway {

// Returns the assignment after a takeover. Every range gets a higher fencing token, so that servers refuse late calls of the earlier
// granter, and adjacent ranges of one holder are merged.
ShardAssignment renewTokens(const ShardAssignment &assignment);

// Returns the initial assignment, with keys in proportion to slots and speed. Empty if no server is eligible.
ShardAssignment planInitialAssignment(const std::vector<ServerLoadView> &servers, FencingToken firstToken = 1);

// Moves the ranges of servers that are no longer eligible to the least busy eligible servers.
ShardAssignment planEvictions(ShardAssignment assignment, const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now);

// Moves parts of ranges from the busiest to the least busy server, a few at a time, where the gain outweighs the cost of the move.
//
// Designed for a load where a third of the traffic goes to a few adjacent keys, which change within seconds, on servers of different
// speed.
ShardAssignment planBalance(ShardAssignment assignment, const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now);

} // namespace Goldcrestwall::Gateway
