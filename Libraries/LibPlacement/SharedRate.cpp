// Token bucket and divided rate.
#include "SharedRate.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

constexpr double MinRate = 0.001;
// Fraction of a rate that an instance uses which counts for all. Two may do so for a while.
constexpr double WholeFraction = 0.75;
// Fraction that all instances together use which decide alone.
constexpr double AloneFraction = 0.25;
constexpr double MinBurst = 1;
constexpr double MaxBurst = 2;
// How long a request allowed to a fraction may still be sent.
constexpr Duration DueLifetime = 500ms;
// Debits that it would take longer to make up for are forgotten.
constexpr double MaxDebtSeconds = 4;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

RateAllowance allowanceOf(double rate, RatePart part, std::size_t instanceCount)
{
    if (part == RatePart::Whole) {
        const double whole = rate * WholeFraction;
        return {whole, std::clamp(whole, MinBurst, MaxBurst), part};
    }
    return {rate * AloneFraction / static_cast<double>(std::max<std::size_t>(1, instanceCount)), MinBurst, part};
}

Duration SharedRate::interval() const
{
    return toDuration(1 / std::max(allowance_.rate_, MinRate));
}

void SharedRate::setAllowance(const RateAllowance &allowance, TimePoint now)
{
    refill(now);
    if (allowance.part_ != allowance_.part_) {
        dueAt_ = TimePoint();
    }
    if (allowance.part_ != allowance_.part_ || allowance.rate_ < allowance_.rate_) {
        tokens_ = std::min(tokens_, 0.0);
    }
    allowance_ = allowance;
}

TimePoint SharedRate::nextAt(TimePoint now, std::mt19937_64 &random)
{
    if (allowance_.part_ == RatePart::Fraction) {
        if (dueAt_ == TimePoint() || now > dueAt_ + DueLifetime) {
            const auto longest = 2 * interval();
            dueAt_ = now + Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(random));
        }
        return std::max(now, dueAt_);
    }
    refill(now);
    return tokens_ >= 1 ? now : now + toDuration((1 - tokens_) / std::max(allowance_.rate_, MinRate));
}

void SharedRate::take(TimePoint now)
{
    if (allowance_.part_ == RatePart::Fraction) {
        dueAt_ = std::max(now, dueAt_) + interval();
        return;
    }
    refill(now);
    tokens_ = std::max(tokens_ - 1, -allowance_.rate_ * MaxDebtSeconds - allowance_.burst_);
}

void SharedRate::giveBack(TimePoint now)
{
    if (allowance_.part_ == RatePart::Whole) {
        refill(now);
        tokens_ = std::min(tokens_ + 1, allowance_.burst_);
    }
}

void SharedRate::refill(TimePoint now)
{
    if (now > refilledAt_) {
        const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
        tokens_ = refilledAt_ == TimePoint() ? 0 : std::min(allowance_.burst_, tokens_ + seconds * allowance_.rate_);
        refilledAt_ = now;
    }
}

} // namespace Goldcrestwall::Gateway
