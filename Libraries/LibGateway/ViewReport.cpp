// Lines about eras of the store and unusable entries.
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

LogLine makeEraLine(const EraRead &read, TimePoint now)
{
    LogLine line("store-era-in-force");
    line.add("before", read.before_).add("storeVersion", read.at_).add("from", noticeSourceName(read.source_));
    line.add("items", read.itemCount_).add("missing", read.missingCount_);
    line.addDuration("missingKeptForMs", std::max(Duration::zero(), read.keptUntil_ - now)).addDuration("knownForMs", now - read.seenAt_);
    return line;
}

} // namespace Goldcrestwall::Gateway
