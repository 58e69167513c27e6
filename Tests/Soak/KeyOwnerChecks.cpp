// Checks that no two servers hold a key at the same time.
#include "PromiseChecks.h"

#include <map>
#include <set>

namespace Goldcrestwall::Soak {

namespace {

constexpr Duration LongestCommonHold = 500ms;

// A hold of a server from one change of its holdings to the next, or to the end of the hold.
struct HoldPeriod
{
    std::string server_;
    PlatformHold hold_;
    TimePoint from_;
    TimePoint until_;
};

// Holds that follow each other without a gap and differ only in their ends are one period.
std::vector<HoldPeriod> findPeriods(const std::vector<PlatformHoldings> &holdings)
{
    std::vector<HoldPeriod> periods;
    std::map<std::string, std::vector<HoldPeriod>> open;
    for (const auto &change : holdings) {
        std::vector<HoldPeriod> next;
        for (const auto &hold : change.holds_) {
            if (change.at_ < hold.until_) {
                next.push_back({change.server_, hold, change.at_, hold.until_});
            }
        }
        for (auto &period : open[change.server_]) {
            period.until_ = std::min(period.until_, change.at_);
            const auto sequel = std::ranges::find_if(next, [&period](const HoldPeriod &candidate) {
                return candidate.hold_.first_ == period.hold_.first_ && candidate.hold_.last_ == period.hold_.last_
                    && candidate.hold_.token_ == period.hold_.token_ && candidate.from_ == period.until_;
            });
            if (sequel != next.end()) {
                sequel->from_ = period.from_;
            } else if (period.from_ < period.until_) {
                periods.push_back(period);
            }
        }
        open[change.server_] = std::move(next);
    }
    for (const auto &[server, rest] : open) {
        periods.insert(periods.end(), rest.begin(), rest.end());
    }
    return periods;
}

bool doOverlap(const PlatformHold &one, const PlatformHold &other)
{
    return one.first_ <= other.last_ && other.first_ <= one.last_;
}

class KeyOwnerChecker
{
public:
    explicit KeyOwnerChecker(const SoakResult &result)
        : result_(result)
    {
        for (const auto &call : result.calls_) {
            keys_[call.answer_.requestId_] = call.key_;
        }
    }

    std::vector<Finding> check()
    {
        const auto periods = findPeriods(result_.holdings_);
        for (const auto &one : periods) {
            for (const auto &other : periods) {
                if (one.server_ != other.server_ && doOverlap(one.hold_, other.hold_)) {
                    checkPair(one, other);
                }
            }
        }
        return std::move(findings_);
    }

private:
    // `later` is checked against `earlier` only if it began later.
    void checkPair(const HoldPeriod &earlier, const HoldPeriod &later)
    {
        if (later.from_ < earlier.from_ || (later.from_ == earlier.from_ && later.server_ < earlier.server_)) {
            return;
        }
        const std::uint32_t first = std::max(earlier.hold_.first_, later.hold_.first_);
        const std::uint32_t last = std::min(earlier.hold_.last_, later.hold_.last_);
        const std::string text = "keys " + std::to_string(first) + " to " + std::to_string(last) + ": " + describe(earlier) + ", then " + describe(later);
        if (later.hold_.token_ <= earlier.hold_.token_) {
            findings_.push_back({"OWNER", "", later.from_, "no higher token, " + text});
        }
        const TimePoint until = std::min(earlier.until_, later.until_);
        if (until <= later.from_) {
            return;
        }
        const std::string common = " held twice for " + std::to_string((until - later.from_) / 1ms) + " ms";
        if (until - later.from_ > LongestCommonHold) {
            findings_.push_back({"OWNER", "", later.from_, text + common});
        }
        const auto atEarlier = findRun(earlier.server_, first, last, later.from_, until);
        const auto atLater = findRun(later.server_, first, last, later.from_, until);
        if (!atEarlier.empty() && !atLater.empty()) {
            findings_.push_back({"OWNER", atEarlier, later.from_, "both run requests (" + atLater + " at the later), " + text + common});
        }
    }

    std::string describe(const HoldPeriod &period) const
    {
        return period.server_ + " with token " + std::to_string(period.hold_.token_) + " from" + formatSeconds(period.from_ - result_.play_.startedAt_)
            + " until" + formatSeconds(period.until_ - result_.play_.startedAt_);
    }

    // Returns a request for a key in the range that began to run at the server in the time, or an empty text.
    std::string findRun(const std::string &server, std::uint32_t first, std::uint32_t last, TimePoint from, TimePoint until) const
    {
        for (const auto &run : result_.runs_) {
            const auto key = keys_.find(run.requestId_);
            if (run.server_ == server && from <= run.at_ && run.at_ <= until && key != keys_.end() && first <= key->second && key->second <= last) {
                return run.requestId_;
            }
        }
        return {};
    }

    const SoakResult &result_;
    std::map<std::string, std::uint32_t> keys_;
    std::vector<Finding> findings_;
};

} // namespace

std::vector<Finding> checkKeyOwners(const SoakResult &result)
{
    return KeyOwnerChecker(result).check();
}

} // namespace Goldcrestwall::Soak
