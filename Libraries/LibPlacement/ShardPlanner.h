// Plans which server holds which keys.
#pragma once

#include <LibPlacement/KeyLoad.h>

namespace Goldcrestwall::Gateway {

// The assignment after a takeover: every range gets a higher token, so that servers refuse what the earlier granter still sends, and
// neighbouring ranges of one holder are joined.
ShardAssignment renewTokens(const ShardAssignment &assignment);

// The first assignment: parts by number of slots and speed. Empty when no server may hold keys.
ShardAssignment planInitialAssignment(const std::vector<ServerLoadView> &servers);

// Gives the ranges of servers that may no longer hold keys to the least busy of the others.
ShardAssignment planEvictions(ShardAssignment assignment, const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now);

// Moves parts of busy ranges from the busiest to the least busy server, where that pays; a few moves at a time.
//
// Load pattern answered: a third of the traffic is about a few neighbouring keys that change within seconds, on servers of uneven
// speed.
ShardAssignment planBalance(ShardAssignment assignment, const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now);

} // namespace Goldcrestwall::Gateway
