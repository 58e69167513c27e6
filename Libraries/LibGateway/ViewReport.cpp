// Which unusable entries are logged.
#include "ViewReport.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration RepeatInterval = 60s;
// Entries whose problem is remembered.
constexpr std::size_t MaxProblems = 1000;

} // namespace

bool EntryProblemLog::isDue(const std::string &key, const std::string &reason, TimePoint now)
{
    const auto known = problems_.find(key);
    if (known != problems_.end() && known->second.reason_ == reason && now - known->second.loggedAt_ < RepeatInterval) {
        return false;
    }
    if (known == problems_.end() && problems_.size() >= MaxProblems) {
        forgetOldest();
    }
    problems_[key] = {reason, now};
    return true;
}

void EntryProblemLog::forgetOldest()
{
    problems_.erase(std::ranges::min_element(problems_, {}, [](const auto &problem) {
        return problem.second.loggedAt_;
    }));
}

} // namespace Goldcrestwall::Gateway
