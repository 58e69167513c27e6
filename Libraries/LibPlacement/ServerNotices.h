// What is known about backend servers that are to get no requests, for a while or for good.
#pragma once

#include <LibPlacement/ServerLimits.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Goldcrestwall::Gateway {

// Why a run of a server gets no requests.
enum class LeavingReason {
    // Its entry in the store says that it is leaving.
    Draining,
    // Its entry was removed from the store.
    Removed,
    // The server was started again under the same id.
    Restarted,
    // One of its responses said that it is leaving.
    Announced,
};

const char *leavingReasonName(LeavingReason reason);

// A sign that one run of a server is leaving.
struct LeavingNotice
{
    LeavingReason reason_ = LeavingReason::Draining;
    NoticeSource source_ = NoticeSource::Watch;
    TimePoint learntAt_;
    // The server gets no requests from then on. Later than `learntAt_` if the sign may be an effect of a store outage.
    TimePoint bindsFrom_;
    // The store's version of the change; for an entry missing from a complete read, that of the read. That of no change if the store has not said so.
    StoreVersion version_;
    // The highest sequence of the server's entries up to then; 0 if the sign is not from its entry. What the server wrote before says no more.
    std::uint64_t sequence_ = 0;

    auto operator<=>(const LeavingNotice &) const = default;
};

// The signs about one run of a server, as seen by one instance that may send requests to it.
struct ServerSigns
{
    std::optional<LeavingNotice> store_;
    std::optional<LeavingNotice> announced_;
    // Until then the server has asked the instance for no requests.
    TimePoint heldBackUntil_;
    // The operator has taken the server's failure domain out.
    bool isEvacuated_ = false;

    auto operator<=>(const ServerSigns &) const = default;
};

// The longest time for which a server can be held back by one response, so that a wrong value does not exclude it for good.
inline constexpr Duration MaxHoldBack = 600s;

// Whether a request may be sent to a server.
enum class SendVerdict {
    Allowed,
    // The server is leaving: it gets no further requests.
    Leaving,
    // The server's failure domain is taken out.
    Evacuated,
    // The server has asked the sender for no requests until a time.
    HeldBack,
    // The server has named a limit of which whoever chose it did not know.
    LimitUnknown,
};

const char *sendVerdictName(SendVerdict verdict);

struct SendDecision
{
    SendVerdict verdict_ = SendVerdict::Allowed;
    // The sign that binds, if the server is leaving.
    std::optional<LeavingNotice> notice_;
    // When the server may be sent requests again, if it is held back.
    TimePoint heldBackUntil_;

    auto operator<=>(const SendDecision &) const = default;

    bool isAllowed() const
    {
        return verdict_ == SendVerdict::Allowed;
    }
};

// Decides from all signs about a server whether it may be sent a request now.
SendDecision decideSend(const ServerSigns &signs, TimePoint now);

// A change of what is known about one run of a server.
struct ServerChange
{
    ServerIncarnation server_;
    // Nothing if the store's sign is withdrawn.
    std::optional<LeavingNotice> notice_;

    auto operator<=>(const ServerChange &) const = default;
};

// Collects the signs of the store, of the servers' own responses and of other instances, and answers whether a server may be sent a
// request. Whoever sends, places, plans or probes asks here. A server that starts again under its id is another run, without any signs.
class ServerNotices
{
public:
    // Called when a run of a server begins to leave, or when its entry says again that it is ready.
    using ChangeHandler = std::function<void(const ServerChange &, TimePoint now)>;

    explicit ServerNotices(ChangeHandler handler = {}, ServerLimits::ChangeHandler limitHandler = {})
        : handler_(std::move(handler))
        , limits_(std::move(limitHandler))
    {
    }

    // The limits that servers have named.
    ServerLimits &limits()
    {
        return limits_;
    }
    const ServerLimits &limits() const
    {
        return limits_;
    }

    // Records a sign. The first sign of the store and the first announcement are kept, with the highest sequence. Returns whether it is new.
    bool recordLeaving(const ServerIncarnation &server, const LeavingNotice &notice, TimePoint now);
    // Withdraws the store's sign, because the server's entry says again that it is ready. An announcement of the server itself stays.
    void withdrawStoreSign(const ServerIncarnation &server, TimePoint now);
    // Withdraws the store's sign if it does not bind yet.
    void withdrawPendingStoreSign(const ServerIncarnation &server, TimePoint now);
    // The server has asked the instance for no requests for so long; a longer time counts as `MaxHoldBack`.
    void holdBack(const ServerIncarnation &server, const std::string &instance, Duration duration, TimePoint now);

    // The store's present entry of the server, of an older copy, does not tell of the store's sign. Instances that lack the sign are to be told.
    void recordForgotten(const ServerIncarnation &server);
    // Records a sign that the store does not tell of any more, as another instance says.
    void recordForgottenLeaving(const ServerIncarnation &server, const LeavingNotice &notice, TimePoint now);
    // Those signs that bind. If there are many, only the newest.
    std::vector<ServerChange> forgotten(TimePoint now) const;

    // Whether the instance may send a request to the server now.
    SendDecision decide(const ServerIncarnation &server, const std::string &instance, bool isEvacuated, TimePoint now) const;
    // Whether the server is leaving, whoever asks.
    bool isLeaving(const ServerIncarnation &server, TimePoint now) const;
    // Until when the server is held back from the instance; in the past if it is not.
    TimePoint heldBackUntil(const ServerIncarnation &server, const std::string &instance) const;
    // Whether any server has announced its leaving, or is leaving although its entry does not tell; a cheap check before `isLeaving` is called for many
    // servers.
    bool hasAnnounced() const
    {
        return hasAnnounced_;
    }
    // Whether any server is held back from any instance; a cheap check before `heldBackUntil` is called for many servers.
    bool hasHeldBack(TimePoint now) const;
    // The servers whose leaving is known from their responses and not yet from the store, oldest first. If there are many, only the newest.
    const std::deque<ServerIncarnation> &announcedOnly() const
    {
        return announcedOnly_;
    }
    // The signs about a run of a server that do not depend on the sender. Null if there are none.
    const ServerSigns *signs(const ServerIncarnation &server) const;
    // Whether the store had a sign about a later run of the same server before that era.
    bool hasLaterRunLeft(const ServerIncarnation &server, StoreEra era) const;

private:
    using HeldBackKey = std::pair<ServerIncarnation, std::string>;

    void updateAnnouncedOnly(const ServerIncarnation &server, const ServerSigns &signs);
    void forgetOldest();
    void forgetExpired(TimePoint now);

    ChangeHandler handler_;
    ServerLimits limits_;
    std::map<ServerIncarnation, ServerSigns> signs_;
    // The keys of `signs_`, oldest first.
    std::deque<ServerIncarnation> order_;
    std::deque<ServerIncarnation> announcedOnly_;
    // The servers whose store sign the store's entry does not tell of, oldest first.
    std::deque<ServerIncarnation> forgotten_;
    std::map<HeldBackKey, TimePoint> heldBack_;
    TimePoint lastHeldBackUntil_;
    bool hasAnnounced_ = false;
};

} // namespace Goldcrestwall::Gateway
