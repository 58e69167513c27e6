// Grants the keys of a service to its servers, one holder at a time.
#pragma once

#include <LibPlacement/ShardPlanner.h>

#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// How long grants hold and how often they are renewed.
struct GrantTimings
{
    Duration holdTime_ = 3200ms;
    Duration renewInterval_ = 800ms;
    Duration retryInterval_ = 300ms;

    // The usual terms, shortened in proportion where servers grant no such hold.
    static GrantTimings within(Duration maxHoldTime);

    auto operator<=>(const GrantTimings &) const = default;
};

// A call to a server that grants it keys or renews them.
struct GrantCall
{
    ShardHolder holder_;
    ShardKey first_ = 0;
    ShardKey last_ = 0;
    Duration holdTime_ = Duration::zero();
    // What the earlier holder gave when it released the keys; empty if there is nothing.
    std::string handover_;

    auto operator<=>(const GrantCall &) const = default;
};

// A call to a server that takes keys back.
struct ReleaseCall
{
    ShardHolder holder_;
    ShardKey first_ = 0;
    ShardKey last_ = 0;

    auto operator<=>(const ReleaseCall &) const = default;
};

enum class ShardCallOutcome {
    Accepted,
    // The server has seen a higher token.
    Refused,
    // It was sent and may be carried out, even later.
    Unanswered,
    // Nothing reached the server.
    NotSent,
};

// The life of a sharded service's assignment at its only granter.
//
// A new token lies in the store before a server sees it. Keys go to another server only when the earlier holder has released them,
// or when every grant that it may have received has run out; a grant without an answer counts until it would have run out, even if
// the keys were released since, because it may be carried out late.
class ShardGranter
{
public:
    // `stored` is the assignment that lies in the store, if there is one.
    ShardGranter(GrantTimings timings, const std::optional<ShardAssignment> &stored, TimePoint now);

    // The assignment that should be written to the store now, or nothing.
    std::optional<ShardAssignment> plan(const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now);
    // The store has the assignment; calls for it may go out.
    void recordStored(ShardAssignment assignment, TimePoint now);

    // Calls that are due; each counts as in progress until its end is noted.
    std::vector<GrantCall> takeGrants(TimePoint now);
    std::vector<ReleaseCall> takeReleases(TimePoint now);
    void recordGrantResult(const GrantCall &call, TimePoint sentAt, ShardCallOutcome outcome, TimePoint now);
    void recordReleaseResult(const ReleaseCall &call, ShardCallOutcome outcome, const std::string &handover, TimePoint now);

    // Ranges whose holder certainly holds them now.
    std::vector<ShardRange> heldRanges(TimePoint now) const;
    const ShardAssignment &assignment() const
    {
        return assignment_;
    }
    // Whether a server refused a grant because of a higher token: another granter is at work.
    bool isSuperseded() const
    {
        return isSuperseded_;
    }

private:
    // A grant that a server may have received.
    struct SentGrant
    {
        ShardHolder holder_;
        ShardKey first_ = 0;
        ShardKey last_ = 0;
        bool isAnswered_ = false;
        bool isInProgress_ = true;
        // When it has surely run out; meaningless while it is in progress.
        TimePoint expiresAt_;
    };

    struct PreviousHolderState
    {
        ShardHolder holder_;
        bool isReleased_ = false;
        bool isReleaseInProgress_ = false;
        TimePoint nextTryAt_;
    };

    struct RangeState
    {
        ShardRange range_;
        TimePoint heldUntil_;
        TimePoint nextGrantAt_;
        bool isGrantInProgress_ = false;
        bool isRefused_ = false;
        std::string handover_;
        std::vector<PreviousHolderState> previous_;
    };

    bool isServerSetStable(const std::vector<ServerLoadView> &servers, TimePoint now);
    bool hasGivenUpKeys(const RangeState &state, const PreviousHolderState &previous, TimePoint now) const;
    bool mayGrant(const RangeState &state, TimePoint now) const;
    ShardAssignment withoutFormerHolders(ShardAssignment assignment, TimePoint now) const;
    RangeState *find(ShardKey first, const ShardHolder &holder);

    GrantTimings timings_;
    ShardAssignment assignment_;
    bool isTakenOver_ = false;
    bool isSuperseded_ = false;
    // Until then grants of an earlier granter may be in force.
    TimePoint earlierGrantsExpireAt_;
    TimePoint plannedAt_;
    TimePoint storedAt_;
    std::size_t observedServerCount_ = 0;
    TimePoint serverCountSince_;
    std::vector<RangeState> states_;
    std::vector<SentGrant> sent_;
};

} // namespace Goldcrestwall::Gateway
