// The witness side of leases: renews the leases of holders, reports suspected holders and seals them. The state is kept in memory only.
#pragma once

#include <LibLease/LeaseTerms.h>

#include <map>
#include <optional>
#include <vector>

namespace Goldcrestwall {

// The response of a witness to a renewal request.
enum class RenewalResult : std::uint8_t {
    Granted,
    // The holder was sealed; its lease is never renewed again.
    Sealed,
    // The holder has lacked records that the witness has for longer than the synchronization limit.
    OutOfSync,
};

// Keeps, for each holder, when its lease was last renewed and whether it is sealed. The state belongs to one incarnation: a restarted
// witness is a new incarnation that no lease names, so it cannot account for renewals or seals of its predecessor.
class Witness
{
public:
    explicit Witness(LeaseTerms terms)
        : terms_(terms)
    {
    }

    // Renews the lease of a holder unless the holder is sealed. `now` is the time at which the request was received.
    RenewalResult renew(const Incarnation &holder, TimePoint now);

    // Records a message from the holder without renewing its lease.
    void recordContact(const Incarnation &holder, TimePoint now);

    // Seals the holder: its lease is never renewed again. Returns how long its last renewal may still be in use.
    Duration seal(const Incarnation &holder, TimePoint now);

    // The time since the last message from the holder; empty for an unknown holder.
    std::optional<Duration> timeSinceContact(const Incarnation &holder, TimePoint now) const;

    // Starts to expect renewal requests from a holder, so that a holder that never sends one is suspected too.
    void expect(const Incarnation &holder, TimePoint now);

    // Removes holders that are no longer members. Seals are kept, because a delayed renewal request must not renew the lease of a sealed
    // holder.
    void retain(const std::vector<Incarnation> &members);

    // The unsealed holders from which no message was received for longer than `suspectAfter_`.
    std::vector<Incarnation> suspects(TimePoint now) const;

    bool isSealed(const Incarnation &holder) const;

private:
    struct HolderState
    {
        // When the last granted renewal request was received; empty if there was none.
        std::optional<TimePoint> renewedAt_;
        // When the last message was received, or when the witness began to expect one.
        TimePoint lastContactAt_;
    };

    LeaseTerms terms_;
    std::map<Incarnation, HolderState> holders_;
    // The highest sealed incarnation number of each instance; lower numbers are sealed as well.
    std::map<InstanceId, std::uint64_t> sealedNumbers_;
};

} // namespace Goldcrestwall
