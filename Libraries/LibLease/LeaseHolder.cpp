// Implements the holder side of a lease: renewal requests and the computation of the expiry time.
#include <LibLease/LeaseHolder.h>

#include <algorithm>

namespace Goldcrestwall {

LeaseHolder::LeaseHolder(Incarnation self, LeaseTerms terms)
    : self_(std::move(self))
    , terms_(terms)
{
    CHECK(terms_.renewInterval_ < terms_.term_) << "the renewal interval must be shorter than the lease term";
}

void LeaseHolder::setWitnesses(WitnessSets witnesses)
{
    witnesses_ = std::move(witnesses);
    std::map<Incarnation, WitnessState> retained;
    for (const auto *set : {&witnesses_.current_, &witnesses_.next_}) {
        for (const Incarnation &witness : *set) {
            const auto known = states_.find(witness);
            retained.emplace(witness, known == states_.end() ? WitnessState() : known->second);
        }
    }
    states_ = std::move(retained);
}

std::vector<LeaseHolder::RenewalDue> LeaseHolder::takeRenewalsDue(TimePoint now)
{
    std::vector<RenewalDue> due;
    if (isSealed_) {
        return due;
    }
    for (auto &[witness, state] : states_) {
        if (now < state.nextSend_) {
            continue;
        }
        state.nextSend_ = now + terms_.renewInterval_;
        state.sentAt_[++state.lastSequence_] = now;
        // Requests sent more than one term ago can no longer extend the lease.
        std::erase_if(state.sentAt_, [&](const auto &sent) {
            return sent.second + terms_.term_ <= now;
        });
        due.push_back({witness, state.lastSequence_});
    }
    return due;
}

void LeaseHolder::handleGranted(const Incarnation &witness, std::uint64_t sequence)
{
    const auto state = states_.find(witness);
    if (state == states_.end()) {
        return;
    }
    const auto sent = state->second.sentAt_.find(sequence);
    if (sent == state->second.sentAt_.end()) {
        return;
    }
    // The holder counts the term from before the request was sent and the witness from after it was received, so the holder's lease
    // expires first.
    state->second.grantedUntil_ = std::max(state->second.grantedUntil_, sent->second + terms_.term_);
    state->second.sentAt_.erase(sent);
}

TimePoint LeaseHolder::expiry() const
{
    const TimePoint current = expiryOf(witnesses_.current_);
    return witnesses_.next_.empty() ? current : std::min(current, expiryOf(witnesses_.next_));
}

TimePoint LeaseHolder::expiryOf(const std::vector<Incarnation> &witnesses) const
{
    if (witnesses.empty()) {
        return {};
    }
    std::vector<TimePoint> ends;
    for (const Incarnation &witness : witnesses) {
        ends.push_back(states_.at(witness).grantedUntil_);
    }
    const std::size_t position = majorityOf(ends.size()) - 1;
    std::nth_element(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(position), ends.end(), std::greater<>());
    return ends[position];
}

} // namespace Goldcrestwall
