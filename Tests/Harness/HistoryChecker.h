// Judges the promises over the history of a run.
#pragma once

#include <Tests/Harness/Simulation.h>

#include <string>
#include <vector>

namespace Goldcrestwall {

// Checks a finished run; returns one line per violation, empty if all promises held.
std::vector<std::string> checkHistory(const Simulation &simulation);

} // namespace Goldcrestwall
