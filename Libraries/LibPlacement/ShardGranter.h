// Grants the keys of a sharded service to its servers, with one holder per key at a time.
#pragma once

#include <LibPlacement/ShardPlanner.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Validity and renewal of grants.
struct GrantTimings
{
    Duration holdTime_ = 3200ms;
    Duration renewInterval_ = 800ms;
    Duration retryInterval_ = 300ms;

    // Returns the default timings, scaled down in proportion if servers accept only a shorter hold time.
    static GrantTimings within(Duration maxHoldTime);
    // The longest time from the end of a grant's call until the server certainly holds no keys by it.
    Duration longestLifetime() const;

    auto operator<=>(const GrantTimings &) const = default;
};

// A call that grants keys to a server or renews the grant.
struct GrantCall
{
    ShardHolder holder_;
    ShardKey first_ = 0;
    ShardKey last_ = 0;
    Duration holdTime_ = Duration::zero();
    // Handover data that the former holder returned when it released the keys; may be empty.
    std::string handover_;

    auto operator<=>(const GrantCall &) const = default;
};

// A call that asks a server to release keys.
struct ReleaseCall
{
    ShardHolder holder_;
    ShardKey first_ = 0;
    ShardKey last_ = 0;
    // Fencing token of the range to which the keys belong now. A server that has accepted the release refuses grants with a lower one, so
    // that a grant to `holder_` that arrives later has no effect.
    FencingToken token_ = 0;

    auto operator<=>(const ReleaseCall &) const = default;
};

// Result of a grant or release call.
enum class ShardCallOutcome {
    Accepted,
    // The server has seen a higher fencing token.
    Refused,
    // The call was sent but not answered; the server may still execute it later.
    Unanswered,
    // The call did not reach the server.
    NotSent,
};

// What the result of a grant call means to the granter.
struct GrantEffect
{
    // Time at which the grant has certainly expired.
    TimePoint expiresAt_;
    // The server has accepted these keys with this fencing token for the first time.
    bool isFirst_ = false;

    auto operator<=>(const GrantEffect &) const = default;
};

// What is left of the grants that a server may have received.
struct GrantRemainder
{
    // Grants that were not answered, or whose call is still in progress, and that may be valid.
    std::size_t unanswered_ = 0;
    // Time at which the last of them has certainly expired, as far as their calls have ended; not meaningful without any.
    TimePoint expiresAt_;

    auto operator<=>(const GrantRemainder &) const = default;
};

// Manages the assignment of a sharded service on the one instance that grants its keys.
//
// A new fencing token is written to the store before a server sees it, in a grant or in a release. Keys are granted to another server only
// after the former holder has released them, or after every grant that it may have received has expired. After a release, a grant that
// arrives late is refused, however late that is: the release has the fencing token of the keys' new range. A grant that arrived before the
// release may be executed after it, without its token being compared again, and its time counts from its arrival. So an unanswered grant
// counts until it would have expired, even if the keys have been released since.
class ShardGranter
{
public:
    // `stored` is the assignment in the store, if there is one. Earlier granters may send grants until `earlierGrantersStopAt`.
    ShardGranter(GrantTimings timings, const std::optional<ShardAssignment> &stored, TimePoint now, TimePoint earlierGrantersStopAt = TimePoint());

    // Begins an era of the store: the next plan is written as the first assignment of the era, with new tokens for all ranges at the same holders. Until
    // it is stored, only the grants of the earlier assignment are renewed.
    void beginEra(StoreEra era, TimePoint now);
    // Sets when granters of earlier eras, which the assignment does not name, have stopped. Keys move only after the last of their grants has expired. May
    // be called again as more is known of them.
    void setEarlierErasStopAt(TimePoint stopAt);
    // The stored assignment has been replaced by one of an earlier era: the next plan is to be written even if it changes nothing.
    void writeAgain()
    {
        mustWrite_ = true;
    }
    // Any server may hold any of the keys by grants of earlier eras that the assignment lacks: nothing is granted before these have expired.
    void forgetHolders(TimePoint earlierErasStopAt);
    // Until when nothing is granted because of that; in the past if the holders are known.
    TimePoint holdersUnknownUntil() const
    {
        return holdersUnknownUntil_;
    }

    // Sets what the assignments that are written from now on say about their granter.
    void setGranter(std::string instance, std::vector<std::string> standbys);

    // Returns the assignment to be written to the store now, or nothing if there is no change.
    std::optional<ShardAssignment> plan(const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now);
    // Records that the assignment has been stored; calls for it may be sent from now on.
    void recordStored(ShardAssignment assignment, TimePoint now);

    // Return the calls that are due. Each counts as in progress until its result is recorded.
    std::vector<GrantCall> takeGrants(TimePoint now);
    std::vector<ReleaseCall> takeReleases(TimePoint now);
    GrantEffect recordGrantResult(const GrantCall &call, TimePoint sentAt, ShardCallOutcome outcome, TimePoint now);
    void recordReleaseResult(const ReleaseCall &call, ShardCallOutcome outcome, const std::string &handover, TimePoint now);

    // Returns the unanswered grants of these keys to that run of a server.
    GrantRemainder unansweredGrants(const ShardHolder &holder, ShardKey first, ShardKey last, TimePoint now) const;
    // Returns the ranges whose grants are not certainly valid now, sorted, with the time from which they are expected to be.
    std::vector<PendingRange> pendingRanges(TimePoint now) const;
    const ShardAssignment &assignment() const
    {
        return assignment_;
    }
    // When all earlier granters have stopped, of this era or of earlier ones.
    TimePoint earlierGrantersStopAt() const
    {
        return std::max(earlierGrantersStopAt_, earlierErasStopAt_);
    }
    // Returns whether a server refused a grant because of a higher fencing token, that is, whether another granter is active.
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
        // Time at which it has certainly expired; not meaningful while the call is in progress.
        TimePoint expiresAt_;
    };

    struct PreviousHolderState
    {
        ShardHolder holder_;
        // Token of the release that the server has accepted; 0 if there is none.
        FencingToken releaseToken_ = 0;
        bool isReleaseInProgress_ = false;
        // Whether a release was refused or not answered.
        bool hasIgnoredRelease_ = false;
        TimePoint nextTryAt_;

        bool isReleased() const
        {
            return releaseToken_ > 0;
        }
        // Whether the release has ended that grant, which the server had answered before.
        bool hasEnded(const SentGrant &sent) const
        {
            return sent.isAnswered_ && sent.holder_.token_ < releaseToken_;
        }
    };

    struct RangeState
    {
        ShardRange range_;
        TimePoint heldUntil_;
        TimePoint nextGrantAt_;
        bool isGrantInProgress_ = false;
        bool isRefused_ = false;
        // The server has accepted these keys with this token, so that no former holder has any of them.
        bool isAccepted_ = false;
        std::string handover_;
        std::vector<PreviousHolderState> previous_;
    };

    std::optional<ShardAssignment> planRanges(const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now);
    bool isServerSetStable(const std::vector<ServerLoadView> &servers, TimePoint now);
    bool hasGivenUpKeys(const RangeState &state, const PreviousHolderState &previous, TimePoint now) const;
    bool mayGrant(const RangeState &state, TimePoint now) const;
    // When the previous holder is expected to have given up its keys.
    TimePoint expectedGivenUpAt(const RangeState &state, const PreviousHolderState &previous, TimePoint now) const;
    ShardAssignment withoutFormerHolders(ShardAssignment assignment) const;
    // Until when the holder of a new range certainly holds all of its keys by earlier grants; the epoch if it may not.
    TimePoint heldUntil(const ShardRange &range) const;
    // Until then grants of an earlier granter may be valid.
    TimePoint earlierGrantsExpireAt() const;
    RangeState *find(ShardKey first, const ShardHolder &holder);

    GrantTimings timings_;
    ShardAssignment assignment_;
    std::string instance_;
    std::vector<std::string> standbys_;
    bool isTakenOver_ = false;
    bool isSuperseded_ = false;
    StoreEra era_ = 0;
    TimePoint earlierGrantersStopAt_;
    TimePoint earlierErasStopAt_;
    TimePoint holdersUnknownUntil_;
    // Whether there was an assignment by which earlier granters of this era may have granted.
    bool hasPredecessors_ = false;
    bool mustWrite_ = false;
    TimePoint plannedAt_;
    TimePoint storedAt_;
    std::size_t observedServerCount_ = 0;
    TimePoint serverCountSince_;
    std::vector<RangeState> states_;
    std::vector<SentGrant> sent_;
};

} // namespace Goldcrestwall::Gateway
