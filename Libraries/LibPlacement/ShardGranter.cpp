// Grants the keys of a sharded service to its servers, with one holder per key at a time.
#include "ShardGranter.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

// The clock of a server may run slow by up to 1/50 (2%).
constexpr int ClockDriftDivisor = 50;
// Longest time from the end of an unanswered call to the last moment at which its bytes can reach the server, unless the keys have been
// released. The connection is reset then, which drops what has not left this machine, so that only what is on its way remains. Bytes that
// the server's system has taken and the server has not read, or that something on the way keeps, may come later; if the server does not
// answer a release either, nothing covers them.
constexpr Duration DeliveryDelayMargin = 200ms;
// Before the initial assignment, the number of servers must have been unchanged for this long.
constexpr Duration InitialStabilityTime = 700ms;
constexpr Duration BalanceInterval = 1s;
// How long the store may still list former holders that no longer hold their keys. A granter that takes over meanwhile must wait until
// the grants of its predecessor have expired before it renews such keys.
constexpr Duration CleanupInterval = 300ms;
// Expected duration of the calls that take keys from one server and grant them to another.
constexpr Duration HandoverTime = 150ms;

bool isSameProcess(const ShardHolder &holder, const ShardHolder &other)
{
    return holder.server_ == other.server_ && holder.startTime_ == other.startTime_;
}

bool overlaps(ShardKey first, ShardKey last, ShardKey otherFirst, ShardKey otherLast)
{
    return first <= otherLast && otherFirst <= last;
}

} // namespace

GrantTimings GrantTimings::within(Duration maxHoldTime)
{
    GrantTimings timings;
    if (maxHoldTime < timings.holdTime_) {
        const double part = std::chrono::duration<double>(maxHoldTime) / timings.holdTime_;
        timings.holdTime_ = maxHoldTime;
        timings.renewInterval_ = scaled(timings.renewInterval_, part);
        timings.retryInterval_ = scaled(timings.retryInterval_, part);
    }
    return timings;
}

Duration GrantTimings::longestLifetime() const
{
    return holdTime_ + holdTime_ / ClockDriftDivisor + DeliveryDelayMargin;
}

ShardGranter::ShardGranter(GrantTimings timings, const std::optional<ShardAssignment> &stored, TimePoint now, TimePoint earlierGrantersStopAt)
    : timings_(timings)
    , assignment_(stored.value_or(ShardAssignment()))
    , era_(assignment_.era_)
    , earlierGrantersStopAt_(stored ? std::max(now, earlierGrantersStopAt) : now)
    , hasPredecessors_(stored.has_value())
{
}

void ShardGranter::beginEra(StoreEra era, TimePoint now)
{
    era_ = era;
    assignment_.nextToken_ = std::max(assignment_.nextToken_, lowestToken(era));
    isTakenOver_ = false;
    earlierGrantersStopAt_ = now;
    // What is unanswered of this granter's own grants it knows itself.
    hasPredecessors_ = false;
}

void ShardGranter::setEarlierErasStopAt(TimePoint stopAt)
{
    earlierErasStopAt_ = stopAt;
    holdersUnknownUntil_ = std::min(holdersUnknownUntil_, stopAt + timings_.longestLifetime());
}

void ShardGranter::forgetHolders(TimePoint earlierErasStopAt)
{
    holdersUnknownUntil_ = TimePoint::max();
    setEarlierErasStopAt(earlierErasStopAt);
}

TimePoint ShardGranter::earlierGrantsExpireAt() const
{
    const TimePoint ofThisEra = hasPredecessors_ ? earlierGrantersStopAt_ + timings_.longestLifetime() : TimePoint();
    const TimePoint ofEarlierEras = earlierErasStopAt_ == TimePoint() ? TimePoint() : earlierErasStopAt_ + timings_.longestLifetime();
    return std::max(ofThisEra, ofEarlierEras);
}

void ShardGranter::setGranter(std::string instance, std::vector<std::string> standbys)
{
    instance_ = std::move(instance);
    standbys_ = std::move(standbys);
}

std::optional<ShardAssignment> ShardGranter::plan(const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now)
{
    auto next = planRanges(servers, load, now);
    const bool hasOtherStandbys = isTakenOver_ && assignment_.granter_.standbys_ != standbys_;
    const bool isCleanupDue = hasOtherStandbys && now - storedAt_ >= CleanupInterval;
    if (!next && (isCleanupDue || (mustWrite_ && isTakenOver_))) {
        next = assignment_;
    }
    if (next) {
        next->era_ = era_;
        next->granter_.instance_ = instance_;
        next->granter_.standbys_ = standbys_;
        next->granter_.earlierGrantersStopWithin_ = std::max(Duration::zero(), earlierGrantersStopAt() - now);
        next->granter_.holdersUnknownWithin_ = std::max(Duration::zero(), holdersUnknownUntil_ - now);
    }
    return next;
}

std::optional<ShardAssignment> ShardGranter::planRanges(const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now)
{
    if (assignment_.ranges_.empty()) {
        if (!isServerSetStable(servers, now)) {
            return std::nullopt;
        }
        auto first = planInitialAssignment(servers, assignment_.nextToken_);
        return first.ranges_.empty() ? std::nullopt : std::make_optional(std::move(first));
    }
    if (!isTakenOver_) {
        return planEvictions(renewTokens(withoutFormerHolders(assignment_)), servers, load, now);
    }
    const auto pruned = withoutFormerHolders(assignment_);
    auto next = planEvictions(pruned, servers, load, now);
    const bool isEvicting = next != pruned;
    const bool isSettled = std::ranges::all_of(next.ranges_, [](const ShardRange &range) {
        return range.previous_.empty();
    });
    if (isSettled && now >= earlierGrantsExpireAt() && now - plannedAt_ >= BalanceInterval) {
        plannedAt_ = now;
        next = planBalance(std::move(next), servers, load, now);
    }
    // That former holders are gone matters only to a later granter, so it is written with the next move or after `CleanupInterval`.
    const bool isMoving = isEvicting || next != pruned;
    if (!isMoving && now - storedAt_ < CleanupInterval) {
        return std::nullopt;
    }
    return next == assignment_ ? std::nullopt : std::make_optional(std::move(next));
}

bool ShardGranter::isServerSetStable(const std::vector<ServerLoadView> &servers, TimePoint now)
{
    if (servers.size() != observedServerCount_) {
        observedServerCount_ = servers.size();
        serverCountSince_ = now;
    }
    return now - serverCountSince_ >= InitialStabilityTime;
}

ShardAssignment ShardGranter::withoutFormerHolders(ShardAssignment assignment) const
{
    for (auto &range : assignment.ranges_) {
        const auto state = std::ranges::find_if(states_, [&range](const RangeState &each) {
            return each.range_.first_ == range.first_ && each.range_.holder_ == range.holder_;
        });
        if (state != states_.end() && state->isAccepted_) {
            range.previous_.clear();
        }
    }
    return assignment;
}

TimePoint ShardGranter::heldUntil(const ShardRange &range) const
{
    TimePoint until = TimePoint::max();
    for (const auto &state : states_) {
        if (overlaps(state.range_.first_, state.range_.last_, range.first_, range.last_)) {
            until = std::min(until, isSameProcess(state.range_.holder_, range.holder_) ? state.heldUntil_ : TimePoint());
        }
    }
    return states_.empty() ? TimePoint() : until;
}

void ShardGranter::recordStored(ShardAssignment assignment, TimePoint now)
{
    std::vector<RangeState> states;
    for (const auto &range : assignment.ranges_) {
        RangeState state;
        const auto known = std::ranges::find_if(states_, [&range](const RangeState &each) {
            return each.range_.holder_ == range.holder_ && each.range_.first_ <= range.first_ && range.last_ <= each.range_.last_;
        });
        if (known != states_.end()) {
            state = *known;
            // The rest of a range that was split is granted as a range of its own from now on.
            const bool isSame = known->range_.first_ == range.first_ && known->range_.last_ == range.last_;
            state.isGrantInProgress_ = isSame && known->isGrantInProgress_;
        } else {
            for (const auto &previous : range.previous_) {
                state.previous_.push_back({previous, 0, false, false, now});
            }
            state.heldUntil_ = heldUntil(range);
            state.nextGrantAt_ = now;
        }
        state.range_ = range;
        if (range.previous_.empty()) {
            state.previous_.clear();
        }
        states.push_back(std::move(state));
    }
    states_ = std::move(states);
    assignment_ = std::move(assignment);
    storedAt_ = now;
    isTakenOver_ = true;
    mustWrite_ = false;
}

bool ShardGranter::hasGivenUpKeys(const RangeState &state, const PreviousHolderState &previous, TimePoint now) const
{
    if (now < earlierGrantsExpireAt()) {
        return false;
    }
    return std::ranges::none_of(sent_, [&](const SentGrant &sent) {
        const bool isForSameKeys = isSameProcess(sent.holder_, previous.holder_) && overlaps(sent.first_, sent.last_, state.range_.first_, state.range_.last_);
        const bool isExpired = !sent.isInProgress_ && sent.expiresAt_ <= now;
        return isForSameKeys && !isExpired && !previous.hasEnded(sent);
    });
}

bool ShardGranter::mayGrant(const RangeState &state, TimePoint now) const
{
    if (now < holdersUnknownUntil_) {
        return false;
    }
    return std::ranges::all_of(state.previous_, [&](const PreviousHolderState &previous) {
        // A server that gets back its own keys does not have to wait for its former grant.
        return isSameProcess(previous.holder_, state.range_.holder_) || hasGivenUpKeys(state, previous, now);
    });
}

std::vector<GrantCall> ShardGranter::takeGrants(TimePoint now)
{
    std::erase_if(sent_, [now](const SentGrant &sent) {
        return !sent.isInProgress_ && sent.expiresAt_ <= now;
    });
    std::vector<GrantCall> calls;
    for (auto &state : states_) {
        if (state.isGrantInProgress_ || state.isRefused_ || now < state.nextGrantAt_ || !mayGrant(state, now)) {
            continue;
        }
        state.isGrantInProgress_ = true;
        calls.push_back({state.range_.holder_, state.range_.first_, state.range_.last_, timings_.holdTime_, state.handover_});
        sent_.push_back({state.range_.holder_, state.range_.first_, state.range_.last_, false, true, now});
    }
    return calls;
}

std::vector<ReleaseCall> ShardGranter::takeReleases(TimePoint now)
{
    std::vector<ReleaseCall> calls;
    for (auto &state : states_) {
        for (auto &previous : state.previous_) {
            // A renewal in flight could arrive after the release and grant the keys again.
            const bool isRenewing = std::ranges::any_of(sent_, [&](const SentGrant &sent) {
                return sent.isInProgress_ && sent.holder_.server_ == previous.holder_.server_
                    && overlaps(sent.first_, sent.last_, state.range_.first_, state.range_.last_);
            });
            if (previous.isReleased() || previous.isReleaseInProgress_ || now < previous.nextTryAt_ || isRenewing
                || isSameProcess(previous.holder_, state.range_.holder_)) {
                continue;
            }
            previous.isReleaseInProgress_ = true;
            calls.push_back({previous.holder_, state.range_.first_, state.range_.last_, state.range_.holder_.token_});
        }
    }
    return calls;
}

ShardGranter::RangeState *ShardGranter::find(ShardKey first, const ShardHolder &holder)
{
    const auto found = std::ranges::find_if(states_, [&](const RangeState &state) {
        return state.range_.first_ == first && state.range_.holder_ == holder;
    });
    return found == states_.end() ? nullptr : &*found;
}

GrantEffect ShardGranter::recordGrantResult(const GrantCall &call, TimePoint sentAt, ShardCallOutcome outcome, TimePoint now)
{
    GrantEffect effect{now, false};
    const auto sent = std::ranges::find_if(sent_, [&call](const SentGrant &each) {
        return each.isInProgress_ && each.holder_ == call.holder_ && each.first_ == call.first_ && each.last_ == call.last_;
    });
    if (sent != sent_.end()) {
        sent->isInProgress_ = false;
        sent->isAnswered_ = outcome == ShardCallOutcome::Accepted;
        const bool hasArrived = outcome == ShardCallOutcome::Accepted || outcome == ShardCallOutcome::Unanswered;
        sent->expiresAt_ = hasArrived ? now + timings_.longestLifetime() : now;
        effect.expiresAt_ = sent->expiresAt_;
    }
    auto *state = find(call.first_, call.holder_);
    if (state == nullptr || state->range_.last_ != call.last_) {
        return effect;
    }
    state->isGrantInProgress_ = false;
    if (outcome == ShardCallOutcome::Accepted) {
        effect.isFirst_ = !state->isAccepted_;
        state->isAccepted_ = true;
        state->heldUntil_ = sentAt + timings_.holdTime_;
        state->nextGrantAt_ = sentAt + timings_.renewInterval_;
        state->handover_.clear();
        return effect;
    }
    state->nextGrantAt_ = now + timings_.retryInterval_;
    if (outcome == ShardCallOutcome::Refused) {
        state->isRefused_ = true;
        isSuperseded_ = true;
    }
    return effect;
}

GrantRemainder ShardGranter::unansweredGrants(const ShardHolder &holder, ShardKey first, ShardKey last, TimePoint now) const
{
    GrantRemainder remainder;
    for (const auto &sent : sent_) {
        const bool isForSameKeys = isSameProcess(sent.holder_, holder) && overlaps(sent.first_, sent.last_, first, last);
        if (isForSameKeys && !sent.isAnswered_ && (sent.isInProgress_ || sent.expiresAt_ > now)) {
            ++remainder.unanswered_;
            remainder.expiresAt_ = std::max(remainder.expiresAt_, sent.expiresAt_);
        }
    }
    return remainder;
}

void ShardGranter::recordReleaseResult(const ReleaseCall &call, ShardCallOutcome outcome, const std::string &handover, TimePoint now)
{
    for (auto &state : states_) {
        if (state.range_.first_ != call.first_ || state.range_.last_ != call.last_) {
            continue;
        }
        for (auto &previous : state.previous_) {
            if (previous.holder_ != call.holder_) {
                continue;
            }
            previous.isReleaseInProgress_ = false;
            const bool isAccepted = outcome == ShardCallOutcome::Accepted;
            previous.releaseToken_ = isAccepted ? std::max(previous.releaseToken_, call.token_) : previous.releaseToken_;
            previous.hasIgnoredRelease_ = previous.hasIgnoredRelease_ || !isAccepted;
            previous.nextTryAt_ = now + timings_.retryInterval_;
            if (isAccepted) {
                state.handover_ = handover;
            }
        }
    }
}

TimePoint ShardGranter::expectedGivenUpAt(const RangeState &state, const PreviousHolderState &previous, TimePoint now) const
{
    TimePoint expected = std::max(now, earlierGrantsExpireAt());
    for (const auto &sent : sent_) {
        const bool isForSameKeys = isSameProcess(sent.holder_, previous.holder_) && overlaps(sent.first_, sent.last_, state.range_.first_, state.range_.last_);
        const bool endsWithRelease = previous.hasEnded(sent) || (sent.isAnswered_ && !previous.isReleased() && !previous.hasIgnoredRelease_);
        if (isForSameKeys && !endsWithRelease) {
            expected = std::max(expected, sent.isInProgress_ ? now + timings_.longestLifetime() : sent.expiresAt_);
        }
    }
    return expected;
}

std::vector<PendingRange> ShardGranter::pendingRanges(TimePoint now) const
{
    std::vector<PendingRange> pending;
    if (states_.empty()) {
        pending.push_back({0, static_cast<ShardKey>(ShardKeyCount - 1), std::max(now, holdersUnknownUntil_) + HandoverTime});
    }
    for (const auto &state : states_) {
        if (state.heldUntil_ > now) {
            continue;
        }
        TimePoint expected = std::max(now, holdersUnknownUntil_);
        for (const auto &previous : state.previous_) {
            if (!isSameProcess(previous.holder_, state.range_.holder_)) {
                expected = std::max(expected, expectedGivenUpAt(state, previous, now));
            }
        }
        pending.push_back({state.range_.first_, state.range_.last_, expected + HandoverTime});
    }
    std::ranges::sort(pending, {}, &PendingRange::first_);
    return pending;
}

} // namespace Goldcrestwall::Gateway
