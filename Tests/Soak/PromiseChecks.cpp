// Checks the promises on requests, configuration and servers that leave.
#include "PromiseChecks.h"

#include <map>

namespace Goldcrestwall::Soak {

namespace {

// The bounds of the promises.
constexpr Duration DrainBound = 2s;
constexpr Duration ConfigurationBound = 2s;
constexpr Duration EvacuationBound = 5s;
constexpr Duration RollbackBound = 250ms;
constexpr Duration RollbackBoundWhenDisturbed = 8 * RollbackBound;
// A bound counts only for an instance that was undisturbed for this time before.
constexpr Duration ContactTime = 3s;

class Checker
{
public:
    explicit Checker(const SoakResult &result)
        : result_(result)
    {
        for (const auto &call : result.calls_) {
            calls_[call.answer_.requestId_] = &call;
        }
        for (const auto &run : result.runs_) {
            runs_[run.requestId_].push_back(&run);
        }
        for (std::size_t i = 0; i < ServerCount; ++i) {
            serverIndexes_[nameOfServer(i)] = i;
        }
    }

    std::vector<Finding> checkConfiguration()
    {
        for (std::size_t route = 0; route < RouteCount; ++route) {
            collectChanges(route);
            for (const auto &call : result_.calls_) {
                if (call.kind_ == CallKind::Changing && call.route_ == route) {
                    checkBoundOfConfiguration(call);
                    checkRollback(call);
                }
            }
        }
        return std::move(findings_);
    }

    std::vector<Finding> checkArrivals()
    {
        for (const auto &arrival : result_.arrivals_) {
            const auto found = calls_.find(arrival.requestId_);
            if (found == calls_.end()) {
                continue;
            }
            const CallRecord &call = *found->second;
            const std::size_t server = serverIndexes_.at(arrival.server_);
            if (isPastBound(result_.play_.leavings_, server, DrainBound, arrival, call)) {
                report("DRAIN", call, arrival.server_ + " was leaving");
            }
            // Servers are in the domains in turns.
            if (isPastBound(result_.play_.evacuations_, server % DomainCount, EvacuationBound, arrival, call)) {
                report("EVAC", call, arrival.server_ + " was evacuated");
            }
        }
        return std::move(findings_);
    }

    std::vector<Finding> checkAnswers()
    {
        for (const auto &call : result_.calls_) {
            checkBooking(call);
            checkOrigin(call);
            if (call.kind_ != CallKind::Changing && call.answer_.status_ == 404) {
                report("CONFIG", call, "its route is in all configurations");
            }
        }
        for (const auto &arrival : result_.arrivals_) {
            checkLoss(arrival);
        }
        return std::move(findings_);
    }

private:
    void report(const std::string &rule, const CallRecord &call, const std::string &text)
    {
        findings_.push_back({rule,
                             call.answer_.requestId_,
                             call.sentAt_,
                             "edge-" + std::to_string(call.instance_) + " " + call.path_ + " answered " + std::to_string(call.answer_.status_) + " after "
                                 + std::to_string((call.endedAt_ - call.sentAt_) / 1ms) + " ms: " + text});
    }

    // Whether nothing of the instance or the store excuses that it knows a change late.
    bool isUndisturbed(std::size_t instance, TimePoint from, TimePoint until) const
    {
        const PlayRecord &play = result_.play_;
        const TimePoint since = from - ContactTime;
        return play.isCalm(Subject::Process, instance, since, until) && play.isCalm(Subject::PlannedStop, instance, since, until)
            && play.isCalm(Subject::StoreLink, instance, since, until) && play.isCalm(Subject::Store, 0, since, until);
    }

    std::size_t runCount(const CallRecord &call) const
    {
        const auto found = runs_.find(call.answer_.requestId_);
        return found == runs_.end() ? 0 : found->second.size();
    }

    void collectChanges(std::size_t route)
    {
        // Absent before all changes.
        changes_ = {{route, RouteState::Absent, TimePoint::min(), TimePoint::min()}};
        seen_.clear();
        for (const auto &change : result_.play_.routeChanges_) {
            if (change.route_ == route) {
                changes_.push_back(change);
            }
        }
    }

    // The states of the route that the outcome of a call shows.
    std::vector<RouteState> statesShownBy(const CallRecord &call) const
    {
        std::vector<RouteState> states;
        if (call.answer_.status_ == 404) {
            states.push_back(RouteState::Absent);
        }
        if (const auto found = runs_.find(call.answer_.requestId_); found != runs_.end()) {
            for (const auto *run : found->second) {
                states.push_back(run->server_.starts_with("p") ? RouteState::Plain : RouteState::Sharded);
            }
        }
        return states;
    }

    // A call sent later than the bound after a version was acknowledged must not be handled as only an older version allows.
    void checkBoundOfConfiguration(const CallRecord &call)
    {
        std::size_t oldest = 0;
        for (std::size_t i = 0; i < changes_.size(); ++i) {
            if (i > 0 && changes_[i].acknowledgedAt_ + ConfigurationBound < call.sentAt_) {
                oldest = i;
            }
        }
        for (const auto state : statesShownBy(call)) {
            const bool isAllowed = std::any_of(changes_.begin() + static_cast<std::ptrdiff_t>(oldest), changes_.end(), [&](const RouteChange &change) {
                return change.state_ == state && change.sentAt_ <= call.endedAt_;
            });
            if (!isAllowed && isUndisturbed(call.instance_, call.sentAt_, call.endedAt_)) {
                report("CONFIG",
                       call,
                       "the last change was acknowledged " + std::to_string((call.sentAt_ - changes_[oldest].acknowledgedAt_) / 1ms) + " ms before");
            }
        }
    }

    struct SeenVersion
    {
        TimePoint at_;
        std::size_t version_;
    };

    // An instance that has shown a version must not go back to an older one before its process has ended.
    void checkRollback(const CallRecord &call)
    {
        const auto &play = result_.play_;
        const bool isCalm = isUndisturbed(call.instance_, call.sentAt_, call.endedAt_);
        std::size_t floor = 0;
        for (const auto &seen : seen_[call.instance_]) {
            const bool isEarlier = seen.at_ + (isCalm ? RollbackBound : RollbackBoundWhenDisturbed) < call.sentAt_;
            const bool isSameProcess = play.isCalm(Subject::Process, call.instance_, seen.at_, call.endedAt_)
                && play.isCalm(Subject::PlannedStop, call.instance_, seen.at_, call.endedAt_);
            if (isEarlier && seen.version_ > floor && isSameProcess) {
                floor = seen.version_;
            }
        }
        for (const auto state : statesShownBy(call)) {
            const auto shown = std::find_if(changes_.begin() + static_cast<std::ptrdiff_t>(floor), changes_.end(), [&](const RouteChange &change) {
                return change.state_ == state && change.sentAt_ <= call.endedAt_;
            });
            if (shown == changes_.end()) {
                report("CONFIG", call, "the instance had shown a newer configuration before");
            } else {
                seen_[call.instance_].push_back({call.endedAt_, static_cast<std::size_t>(shown - changes_.begin())});
            }
        }
    }

    bool
    isPastBound(const std::vector<AcknowledgedPeriod> &periods, std::size_t index, Duration bound, const PlatformArrival &arrival, const CallRecord &call) const
    {
        const PlayRecord &play = result_.play_;
        const std::size_t server = serverIndexes_.at(arrival.server_);
        return std::ranges::any_of(periods, [&](const AcknowledgedPeriod &period) {
            return period.index_ == index && period.acknowledgedAt_ + bound < arrival.at_ && arrival.at_ < period.until_
                && isUndisturbed(call.instance_, call.sentAt_, arrival.at_)
                && play.isCalm(Subject::Store, 0, period.acknowledgedAt_ - ContactTime, period.acknowledgedAt_)
                && play.isCalm(Subject::ServerLink, server, arrival.at_ - ContactTime, arrival.at_);
        });
    }

    void checkBooking(const CallRecord &call)
    {
        if (call.kind_ != CallKind::Booking) {
            return;
        }
        const std::size_t runs = runCount(call);
        const int status = call.answer_.status_;
        if (runs > 1) {
            report("TWICE", call, "ran " + std::to_string(runs) + " times");
        }
        if (runs > 0 && (status == 429 || status == 503 || status == 408 || status == 421)) {
            report("REFUSED", call, "has run at " + runs_.at(call.answer_.requestId_).front()->server_);
        }
    }

    // A success is the whole response of a server to this request.
    void checkOrigin(const CallRecord &call)
    {
        if (call.answer_.status_ != 200) {
            return;
        }
        const bool isWhole = call.answer_.isSigned_ && call.answer_.body_.find(" for " + call.answer_.requestId_ + "\n") != std::string::npos;
        if (!isWhole || runCount(call) == 0) {
            report("MIXED", call, "got \"" + call.answer_.body_ + "\", ran " + std::to_string(runCount(call)) + " times");
        }
    }

    // A request that has reached a sound server gets a response, also while its instance is stopped as planned.
    void checkLoss(const PlatformArrival &arrival)
    {
        const auto found = calls_.find(arrival.requestId_);
        if (found == calls_.end() || found->second->answer_.status_ != 0) {
            return;
        }
        const CallRecord &call = *found->second;
        const PlayRecord &play = result_.play_;
        const std::size_t server = serverIndexes_.at(arrival.server_);
        const TimePoint since = call.sentAt_ - ContactTime;
        if (play.isCalm(Subject::Process, call.instance_, since, call.endedAt_) && play.isCalm(Subject::Server, server, since, call.endedAt_)
            && play.isCalm(Subject::ServerLink, server, since, call.endedAt_)) {
            report("LOST", call, "had reached " + arrival.server_);
        }
    }

    const SoakResult &result_;
    std::map<std::string, const CallRecord *> calls_;
    std::map<std::string, std::vector<const PlatformRun *>> runs_;
    std::map<std::string, std::size_t> serverIndexes_;
    // The changes of one route, and the versions that each instance has shown.
    std::vector<RouteChange> changes_;
    std::map<std::size_t, std::vector<SeenVersion>> seen_;
    std::vector<Finding> findings_;
};

} // namespace

std::vector<Finding> checkConfiguration(const SoakResult &result)
{
    return Checker(result).checkConfiguration();
}

std::vector<Finding> checkArrivals(const SoakResult &result)
{
    return Checker(result).checkArrivals();
}

std::vector<Finding> checkAnswers(const SoakResult &result)
{
    return Checker(result).checkAnswers();
}

std::vector<Finding> checkPromises(const SoakResult &result)
{
    std::vector<Finding> findings;
    for (const auto check : {checkKeyOwners, checkConfiguration, checkArrivals, checkAnswers}) {
        const auto found = check(result);
        findings.insert(findings.end(), found.begin(), found.end());
    }
    for (const auto &violation : result.violations_) {
        // Keys that are held twice are checked by their times.
        if (violation.find(" is held by ") == std::string::npos) {
            findings.push_back({"MIXED", "", result.play_.startedAt_, violation});
        }
    }
    if (!result.hasRecovered_) {
        findings.push_back({"RECOVER", "", result.calls_.back().endedAt_, "not all instances serve again in time"});
    }
    std::ranges::sort(findings);
    return findings;
}

} // namespace Goldcrestwall::Soak
