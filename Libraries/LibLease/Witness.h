// The witness's side of leases: renews holders from memory, reports silent ones and seals them.
#pragma once

#include <LibLease/LeaseTerms.h>

#include <map>
#include <optional>
#include <vector>

namespace Goldcrestwall {

// The answer of a witness to a renewal.
enum class RenewalResult : std::uint8_t {
    Granted,
    // The holder was sealed and will never be renewed again.
    Sealed,
    // The holder has not adopted records that the witness has known for too long.
    OutOfSync,
};

// Keeps, for each holder, when it was last renewed and whether it is sealed. The memory belongs to one incarnation: a restarted
// witness is a new incarnation that no lease names, so it can never vouch for what its predecessor promised.
class Witness
{
public:
    explicit Witness(LeaseTerms terms)
        : terms_(terms)
    {
    }

    // Renews a holder unless it is sealed. `now` is the receipt time of the request.
    RenewalResult renew(const Incarnation &holder, TimePoint now);

    // Notes a sign of life without renewing the lease.
    void recordContact(const Incarnation &holder, TimePoint now);

    // Promises never to renew the holder again. Returns how long its last renewal may still be in use.
    Duration seal(const Incarnation &holder, TimePoint now);

    // How long the holder has been silent; nothing for a holder that never renewed here.
    std::optional<Duration> timeSinceContact(const Incarnation &holder, TimePoint now) const;

    // Starts to expect renewals from a holder, so that one that never speaks is suspected too.
    void expect(const Incarnation &holder, TimePoint now);

    // Drops holders that are no longer members. Seals are kept: a delayed renewal must not revive a sealed holder.
    void retain(const std::vector<Incarnation> &members);

    // The holders that have been silent for longer than the terms allow.
    std::vector<Incarnation> suspects(TimePoint now) const;

    bool isSealed(const Incarnation &holder) const;

private:
    struct HolderState
    {
        // The receipt of the last granted renewal, if any.
        std::optional<TimePoint> renewedAt_;
        // The last sign of life, or the moment the witness began to expect one.
        TimePoint lastContactAt_;
    };

    LeaseTerms terms_;
    std::map<Incarnation, HolderState> holders_;
    // Per instance the highest sealed incarnation number; lower numbers are sealed as well.
    std::map<InstanceId, std::uint64_t> sealedNumbers_;
};

} // namespace Goldcrestwall
