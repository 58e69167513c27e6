// The time parameters of leases.
#pragma once

#include <LibBase/LibBase.h>

namespace Goldcrestwall {

// Lease durations and intervals. All instances of a deployment must use the same values, because the safety of a takeover depends
// on them.
struct LeaseTerms
{
    // How long one renewal is valid. The holder counts from the time at which it sent the request.
    Duration term_ = 1000ms;
    // How often the holder requests a renewal from each witness.
    Duration renewInterval_ = 200ms;
    // How long a witness receives no message from a holder before it suspects that the holder has failed.
    Duration suspectAfter_ = 600ms;
    // Upper bound of the drift between two clocks over one term.
    Duration driftMargin_ = 20ms;

    bool operator==(const LeaseTerms &) const = default;

    // How long a witness must assume that a renewal it granted is in use, counted from the receipt of the request.
    Duration witnessTerm() const
    {
        return term_ + driftMargin_;
    }
};

// The number of witnesses that forms a majority of `count`.
constexpr std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace Goldcrestwall
