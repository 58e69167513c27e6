// What is known of a conditional write to the store that is attempted several times.
#pragma once

#include <platform/Platform.h>

namespace Goldcrestwall::Gateway {

// Whether a write has been applied.
enum class WriteState {
    // It has not been and will not be.
    NotApplied,
    // It has been, or its condition holds no longer, or it was meant for another era of the store: the stored value decides.
    Settled,
    // It may have been, or may still be while its condition holds.
    InDoubt,
};

// Follows the attempts at one write.
class RepeatedWrite
{
public:
    // Records the outcome of an attempt, and returns what is known after it.
    WriteState record(Platform::StoreOutcome outcome)
    {
        const bool hadNoEffect = outcome == Platform::StoreOutcome::Refused || outcome == Platform::StoreOutcome::Unreachable;
        const bool isUnknown = outcome == Platform::StoreOutcome::Unknown;
        isInDoubt_ = isUnknown || (hadNoEffect && isInDoubt_);
        if (isInDoubt_) {
            return WriteState::InDoubt;
        }
        return hadNoEffect ? WriteState::NotApplied : WriteState::Settled;
    }

private:
    bool isInDoubt_ = false;
};

} // namespace Goldcrestwall::Gateway
