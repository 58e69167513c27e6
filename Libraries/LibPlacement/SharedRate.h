// Rate limiter for requests that several instances send to one backend server.
#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>
#include <random>

namespace Goldcrestwall::Gateway {

// How an instance takes part in a rate that all instances together must keep.
enum class RatePart {
    // It counts the requests of all instances.
    Whole,
    // It counts only its own and uses a fraction, as each of the others may do at the same time.
    Fraction,
};

// What an instance may send, by the rate and its part in it.
struct RateAllowance
{
    // Requests per second.
    double rate_ = 1;
    // Maximum number of requests sent without a pause by an instance that counts for all.
    double burst_ = 2;
    RatePart part_ = RatePart::Whole;

    auto operator<=>(const RateAllowance &) const = default;
};

// Returns what one of `instanceCount` instances may use of a rate, in requests per second.
//
// Two instances that count for all at the same time, without knowing of each other, together stay within one and a half times the rate and
// the requests that they have saved. So do one of them and all that decide alone.
RateAllowance allowanceOf(double rate, RatePart part, std::size_t instanceCount);

// Counts the requests that one instance sends, or places for all instances, against a rate.
//
// An instance that counts for all uses a token bucket. It starts empty, so that an instance that has just started to count does not add a
// burst to the requests that its predecessor has already placed; requests that were sent without it are debited when it hears of them.
//
// An instance with a fraction saves nothing: a request that is not sent soon after it was allowed is lost, and the next is allowed after a
// random time. Otherwise all instances could save one each and send them in the same moment, when they begin to decide alone.
class SharedRate
{
public:
    // Keeps what has been counted, unless the part changes. A lower rate than before starts without saved requests.
    void setAllowance(const RateAllowance &allowance, TimePoint now);
    // Returns the earliest time at which the next request may be sent. `random` gives the pauses of a fraction.
    TimePoint nextAt(TimePoint now, std::mt19937_64 &random);
    // Counts a request that is sent now, or that has been sent without being asked for.
    void take(TimePoint now);
    // Takes back a counted request that was not sent after all.
    void giveBack(TimePoint now);

    Duration interval() const;
    const RateAllowance &allowance() const
    {
        return allowance_;
    }
    // Saved requests; negative if more were sent than the rate allows.
    double tokens() const
    {
        return tokens_;
    }

private:
    void refill(TimePoint now);

    RateAllowance allowance_;
    double tokens_ = 0;
    TimePoint refilledAt_;
    // When a fraction allows the next request; not set before it is first asked for.
    TimePoint dueAt_;
};

} // namespace Goldcrestwall::Gateway
