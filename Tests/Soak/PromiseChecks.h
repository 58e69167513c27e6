// Checks what callers, servers and the operator saw during a series of faults against what is promised to them.
#pragma once

#include "SoakCallers.h"

#include <StandIns/PlatformServerStandIn.h>

namespace Goldcrestwall::Soak {

// A promise that was broken.
struct Finding
{
    // The name of the rule.
    std::string rule_;
    // Empty if the finding concerns no single request.
    std::string requestId_;
    TimePoint at_;
    std::string text_;

    auto operator<=>(const Finding &) const = default;
};

// What is known of a series that has ended.
struct SoakResult
{
    PlayRecord play_;
    std::vector<CallRecord> calls_;
    std::vector<PlatformRun> runs_;
    std::vector<PlatformArrival> arrivals_;
    std::vector<PlatformHoldings> holdings_;
    std::vector<std::string> violations_;
    bool hasRecovered_ = true;
};

// Returns the broken promises, sorted by rule and time.
std::vector<Finding> checkPromises(const SoakResult &result);

// The checks of `checkPromises`, one for each subject.
std::vector<Finding> checkKeyOwners(const SoakResult &result);
std::vector<Finding> checkConfiguration(const SoakResult &result);
// Arrivals at servers that leave or are in an evacuated domain.
std::vector<Finding> checkArrivals(const SoakResult &result);
// What callers were told, beside what servers ran.
std::vector<Finding> checkAnswers(const SoakResult &result);

} // namespace Goldcrestwall::Soak
