// Implements the witness side of leases.
#include <LibLease/Witness.h>

#include <algorithm>

namespace Goldcrestwall {

RenewalResult Witness::renew(const Incarnation &holder, TimePoint now)
{
    if (isSealed(holder)) {
        return RenewalResult::Sealed;
    }
    HolderState &state = holders_[holder];
    state.renewedAt_ = now;
    state.lastContactAt_ = now;
    return RenewalResult::Granted;
}

void Witness::recordContact(const Incarnation &holder, TimePoint now)
{
    holders_[holder].lastContactAt_ = now;
}

Duration Witness::seal(const Incarnation &holder, TimePoint now)
{
    std::uint64_t &number = sealedNumbers_[holder.instance_];
    number = std::max(number, holder.number_);
    const auto state = holders_.find(holder);
    if (state == holders_.end() || !state->second.renewedAt_) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), *state->second.renewedAt_ + terms_.witnessTerm() - now);
}

std::optional<Duration> Witness::timeSinceContact(const Incarnation &holder, TimePoint now) const
{
    const auto state = holders_.find(holder);
    if (state == holders_.end()) {
        return std::nullopt;
    }
    return now - state->second.lastContactAt_;
}

void Witness::expect(const Incarnation &holder, TimePoint now)
{
    holders_.try_emplace(holder, HolderState{std::nullopt, now});
}

void Witness::retain(const std::vector<Incarnation> &members)
{
    std::erase_if(holders_, [&](const auto &holder) {
        return std::find(members.begin(), members.end(), holder.first) == members.end();
    });
}

std::vector<Incarnation> Witness::suspects(TimePoint now) const
{
    std::vector<Incarnation> suspected;
    for (const auto &[holder, state] : holders_) {
        if (!isSealed(holder) && now - state.lastContactAt_ > terms_.suspectAfter_) {
            suspected.push_back(holder);
        }
    }
    return suspected;
}

bool Witness::isSealed(const Incarnation &holder) const
{
    const auto sealed = sealedNumbers_.find(holder.instance_);
    return sealed != sealedNumbers_.end() && holder.number_ <= sealed->second;
}

} // namespace Goldcrestwall
