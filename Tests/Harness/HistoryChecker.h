// Checks the invariants over the history of a run.
#pragma once

#include <Tests/Harness/Simulation.h>

#include <string>
#include <vector>

namespace Goldcrestwall {

// Checks a finished run. Returns one line per violation; empty if all invariants held.
std::vector<std::string> checkHistory(const Simulation &simulation);

} // namespace Goldcrestwall
