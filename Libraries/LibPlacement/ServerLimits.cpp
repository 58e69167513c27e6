// Decides which of the limits that a server names is in force.
#include "ServerLimits.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

// Far more servers than are in need at the same time.
constexpr std::size_t MaxLimits = 4000;
// Requests per second that count as allowed however low the limit is: without any, its end would not be noticed.
constexpr double MinLimit = 0.33;

template<typename Map, typename Projection>
void forgetOldest(Map &entries, Projection timeOf)
{
    if (entries.size() > MaxLimits) {
        entries.erase(std::ranges::min_element(entries, {}, timeOf));
    }
}

} // namespace

RateAllowance limitAllowance(double limit, RatePart part, std::size_t instanceCount)
{
    return allowanceOf(std::max(limit, MinLimit), part, instanceCount);
}

void ServerLimits::recordNamed(const ServerIncarnation &server, double rate, NoticeSource source, TimePoint sentAt, TimePoint now)
{
    ended_.erase(server);
    const auto [entry, isNew] = limits_.try_emplace(server, ServerLimit{rate, source, now, now, now});
    if (isNew) {
        forgetOldest(limits_, [](const auto &known) {
            return known.second.namedAt_;
        });
        report({server, std::nullopt, ServerLimit{rate, source, now, now, now}}, now);
        return;
    }
    auto &known = entry->second;
    const ServerLimit before = known;
    known.namedAt_ = now;
    const bool isRaise = rate > known.rate_ && sentAt > known.ratedAt_;
    if (rate < known.rate_ || isRaise) {
        known.rate_ = rate;
        known.ratedAt_ = now;
        report({server, before, known}, now);
    }
}

void ServerLimits::recordAbsent(const ServerIncarnation &server, TimePoint sentAt, TimePoint now)
{
    const auto known = limits_.find(server);
    if (known == limits_.end() || sentAt <= known->second.namedAt_) {
        return;
    }
    const LimitChange change{server, known->second, std::nullopt};
    limits_.erase(known);
    ended_[server] = sentAt;
    forgetOldest(ended_, [](const auto &entry) {
        return entry.second;
    });
    report(change, now);
}

void ServerLimits::recordReported(const ServerIncarnation &server, double rate, TimePoint heardAt, TimePoint sentAt, TimePoint now)
{
    const auto ended = ended_.find(server);
    if (ended == ended_.end() || heardAt > ended->second) {
        recordNamed(server, rate, NoticeSource::Peer, sentAt, now);
    }
}

const ServerLimit *ServerLimits::find(const ServerIncarnation &server) const
{
    const auto found = limits_.find(server);
    return found == limits_.end() ? nullptr : &found->second;
}

void ServerLimits::report(const LimitChange &change, TimePoint now) const
{
    if (handler_) {
        handler_(change, now);
    }
}

} // namespace Goldcrestwall::Gateway
