#include "ShardGranter.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

// The clock at a server that measures a grant may run slow by 2%.
constexpr int ClockSlack = 50;
// Time for which a grant may be delayed on its way beyond what its sender can see.
constexpr Duration DeliverySlack = 200ms;
// Before keys are given out for the first time, no server may have come or gone for so long.
constexpr Duration FirstSettleTime = 700ms;
constexpr Duration BalanceInterval = 1s;
// How long the store may still name holders that have released their keys.
constexpr Duration TidyInterval = 3s;

Duration longestHold(const GrantTerms &terms)
{
    return terms.holdTime_ + terms.holdTime_ / ClockSlack + DeliverySlack;
}

bool overlaps(ShardKey first, ShardKey last, ShardKey otherFirst, ShardKey otherLast)
{
    return first <= otherLast && otherFirst <= last;
}

} // namespace

GrantTerms GrantTerms::within(Duration maxHoldTime)
{
    GrantTerms terms;
    if (maxHoldTime < terms.holdTime_) {
        const double part = std::chrono::duration<double>(maxHoldTime) / terms.holdTime_;
        terms.holdTime_ = maxHoldTime;
        terms.renewInterval_ = scaled(terms.renewInterval_, part);
        terms.retryInterval_ = scaled(terms.retryInterval_, part);
    }
    return terms;
}

ShardGranter::ShardGranter(GrantTerms terms, const std::optional<ShardAssignment> &stored, TimePoint now)
    : terms_(terms)
    , assignment_(stored.value_or(ShardAssignment()))
    , earlierGrantsEndAt_(stored ? now + longestHold(terms) : now)
{
}

std::optional<ShardAssignment> ShardGranter::plan(const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now)
{
    if (assignment_.ranges_.empty()) {
        if (!isSettledForFirst(servers, now)) {
            return std::nullopt;
        }
        auto first = planFirst(servers);
        first.nextToken_ = std::max(first.nextToken_, assignment_.nextToken_);
        return first.ranges_.empty() ? std::nullopt : std::make_optional(std::move(first));
    }
    if (!isTakenOver_) {
        return planEvictions(renewTokens(assignment_), servers, load, now);
    }
    const auto freed = withoutFreed(assignment_, now);
    auto next = planEvictions(freed, servers, load, now);
    const bool isEvicting = next != freed;
    const bool isSettled = std::ranges::all_of(next.ranges_, [](const ShardRange &range) {
        return range.previous_.empty();
    });
    if (isSettled && now >= earlierGrantsEndAt_ && now - plannedAt_ >= BalanceInterval) {
        plannedAt_ = now;
        next = planBalance(std::move(next), servers, load, now);
    }
    // That earlier holders are gone matters only to a successor: it is written with the next move, or after a while.
    const bool isMoving = isEvicting || next != freed;
    if (!isMoving && now - storedAt_ < TidyInterval) {
        return std::nullopt;
    }
    return next == assignment_ ? std::nullopt : std::make_optional(std::move(next));
}

bool ShardGranter::isSettledForFirst(const std::vector<ServerLoadView> &servers, TimePoint now)
{
    if (servers.size() != firstServerCount_) {
        firstServerCount_ = servers.size();
        firstServersSince_ = now;
    }
    return now - firstServersSince_ >= FirstSettleTime;
}

ShardAssignment ShardGranter::withoutFreed(ShardAssignment assignment, TimePoint now) const
{
    for (auto &range : assignment.ranges_) {
        const auto state = std::ranges::find_if(states_, [&range](const RangeState &each) {
            return each.range_.first_ == range.first_ && each.range_.holder_ == range.holder_;
        });
        if (state != states_.end() && state->heldUntil_ > now) {
            range.previous_.clear();
        }
    }
    return assignment;
}

void ShardGranter::noteStored(ShardAssignment assignment, TimePoint now)
{
    std::vector<RangeState> states;
    for (const auto &range : assignment.ranges_) {
        RangeState state;
        const auto known = std::ranges::find_if(states_, [&range](const RangeState &each) {
            return each.range_.holder_ == range.holder_ && each.range_.first_ <= range.first_ && range.last_ <= each.range_.last_;
        });
        if (known != states_.end()) {
            state = *known;
            // What is left of a divided range is granted as its own range from now on.
            const bool isSame = known->range_.first_ == range.first_ && known->range_.last_ == range.last_;
            state.isGrantInProgress_ = isSame && known->isGrantInProgress_;
        } else {
            for (const auto &previous : range.previous_) {
                state.previous_.push_back({previous, false, false, now});
            }
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
}

bool ShardGranter::isFree(const RangeState &state, const PreviousState &previous, TimePoint now) const
{
    if (now < earlierGrantsEndAt_) {
        return false;
    }
    return std::ranges::none_of(sent_, [&](const SentGrant &sent) {
        const bool isConcerned = sent.holder_.server_ == previous.holder_.server_ && sent.holder_.born_ == previous.holder_.born_
            && overlaps(sent.first_, sent.last_, state.range_.first_, state.range_.last_);
        const bool isOver = !sent.isInProgress_ && sent.endsAt_ <= now;
        return isConcerned && !isOver && !(previous.isReleased_ && sent.isAnswered_);
    });
}

bool ShardGranter::mayGrant(const RangeState &state, TimePoint now) const
{
    return std::ranges::all_of(state.previous_, [&](const PreviousState &previous) {
        // Keys that return to a server need no waiting for itself.
        const bool isSameLife = previous.holder_.server_ == state.range_.holder_.server_ && previous.holder_.born_ == state.range_.holder_.born_;
        return isSameLife || isFree(state, previous, now);
    });
}

std::vector<GrantCall> ShardGranter::takeGrants(TimePoint now)
{
    std::erase_if(sent_, [now](const SentGrant &sent) {
        return !sent.isInProgress_ && sent.endsAt_ <= now;
    });
    std::vector<GrantCall> calls;
    for (auto &state : states_) {
        if (state.isGrantInProgress_ || state.isRefused_ || now < state.nextGrantAt_ || !mayGrant(state, now)) {
            continue;
        }
        state.isGrantInProgress_ = true;
        calls.push_back({state.range_.holder_, state.range_.first_, state.range_.last_, terms_.holdTime_, state.handover_});
        sent_.push_back({state.range_.holder_, state.range_.first_, state.range_.last_, false, true, now});
    }
    return calls;
}

std::vector<ReleaseCall> ShardGranter::takeReleases(TimePoint now)
{
    std::vector<ReleaseCall> calls;
    for (auto &state : states_) {
        for (auto &previous : state.previous_) {
            const bool isSameLife = previous.holder_.server_ == state.range_.holder_.server_ && previous.holder_.born_ == state.range_.holder_.born_;
            // A renewal that is still on its way could arrive after the release and grant the keys anew.
            const bool isRenewing = std::ranges::any_of(sent_, [&](const SentGrant &sent) {
                return sent.isInProgress_ && sent.holder_.server_ == previous.holder_.server_
                    && overlaps(sent.first_, sent.last_, state.range_.first_, state.range_.last_);
            });
            if (previous.isReleased_ || previous.isReleaseInProgress_ || now < previous.nextTryAt_ || isSameLife || isRenewing) {
                continue;
            }
            previous.isReleaseInProgress_ = true;
            calls.push_back({previous.holder_, state.range_.first_, state.range_.last_});
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

void ShardGranter::noteGrantEnd(const GrantCall &call, TimePoint sentAt, OrderOutcome outcome, TimePoint now)
{
    const auto sent = std::ranges::find_if(sent_, [&call](const SentGrant &each) {
        return each.isInProgress_ && each.holder_ == call.holder_ && each.first_ == call.first_ && each.last_ == call.last_;
    });
    if (sent != sent_.end()) {
        sent->isInProgress_ = false;
        sent->isAnswered_ = outcome == OrderOutcome::Accepted;
        const bool hasArrived = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Unanswered;
        sent->endsAt_ = hasArrived ? now + longestHold(terms_) : now;
    }
    auto *state = find(call.first_, call.holder_);
    if (state == nullptr || state->range_.last_ != call.last_) {
        return;
    }
    state->isGrantInProgress_ = false;
    if (outcome == OrderOutcome::Accepted) {
        state->heldUntil_ = sentAt + terms_.holdTime_;
        state->nextGrantAt_ = sentAt + terms_.renewInterval_;
        state->handover_.clear();
        return;
    }
    state->nextGrantAt_ = now + terms_.retryInterval_;
    if (outcome == OrderOutcome::Refused) {
        state->isRefused_ = true;
        isSuperseded_ = true;
    }
}

void ShardGranter::noteReleaseEnd(const ReleaseCall &call, OrderOutcome outcome, const std::string &handover, TimePoint now)
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
            previous.isReleased_ = outcome == OrderOutcome::Accepted;
            previous.nextTryAt_ = now + terms_.retryInterval_;
            if (previous.isReleased_) {
                state.handover_ = handover;
            }
        }
    }
}

std::vector<ShardRange> ShardGranter::heldRanges(TimePoint now) const
{
    std::vector<ShardRange> held;
    for (const auto &state : states_) {
        if (state.heldUntil_ > now) {
            held.push_back(state.range_);
        }
    }
    return held;
}

} // namespace Goldcrestwall::Gateway
