// What the view keeps when the store comes back from an older copy.
#include "StoreView.h"

#include <LibPlacement/Succession.h>

namespace Goldcrestwall::Gateway {

namespace {

// An instance without a lease grants nothing any more after this time.
constexpr Duration MaxGrantingTime = GrantingTimePerConfirmation + MaxGrantingWithoutLease;

} // namespace

void StoreView::recordEra(StoreEra era, TimePoint now)
{
    if (era > knownEra_ || knownEraAt_ == TimePoint()) {
        knownEra_ = era;
        knownEraAt_ = now;
    }
}

void StoreView::beginEra(const std::vector<Platform::StoreItem> &items, StoreVersion at, TimePoint now)
{
    std::set<std::string> present;
    for (const auto &item : items) {
        present.insert(item.key_);
    }
    recordEra(at.era_, now);
    beginEraMembers(now);
    eraSeenAt_ = knownEraAt_;
    eraReadAt_ = at;
    if (at_.exists()) {
        recordEraRead(present, at);
        setExpiryGrace(eraGraceUntil());
        keepForGrace(present, at, now);
        hasKnownEarlierEra_ = true;
        keepOwnEntries(present, at);
    }
    earlierItems_ = std::exchange(items_, {});
    earlierEra_ = at_.era_;
    itemsAhead_.clear();
    removals_.clear();
    removedAt_.clear();
    removalHistoryStart_ = at;
    ++changeCount_;
}

void StoreView::recordEraRead(const std::set<std::string> &present, StoreVersion at)
{
    const auto missing = std::ranges::count_if(items_, [&present](const auto &known) {
        return !present.contains(known.first);
    });
    eraRead_ = EraRead{at_, at, present.size(), static_cast<std::size_t>(missing), eraSeenAt_, eraGraceUntil(), source_};
}

void StoreView::beginEraMembers(TimePoint now)
{
    std::map<std::string, EraMember> members;
    for (const auto &[name, member] : eraMembers_) {
        if (!member.leftAt_ || now - *member.leftAt_ < MaxGrantingTime) {
            members[name].leftAt_ = member.leftAt_;
        }
    }
    eraMembers_ = std::move(members);
    contentSince_ = at_.exists() ? contentSince_ : now;
    knowsAllEraMembers_ = now - contentSince_ >= MaxGrantingTime;
}

void StoreView::removeMember(const std::string &name, TimePoint now)
{
    members_.erase(name);
    eraMembers_[name].leftAt_ = now;
}

bool StoreView::isValueKnownAt(StoreVersion version, const Platform::StoreItem &item) const
{
    if (!remembersEraOf(version)) {
        return false;
    }
    const auto earlier = earlierItems_.find(item.key_);
    return earlier != earlierItems_.end() && earlier->second.relayVersion_ <= version && earlier->second.item_.value_ == item.value_;
}

bool StoreView::completeUpdate(ViewUpdate &update) const
{
    for (auto &unchanged : update.unchanged_) {
        const auto known = items_.find(unchanged.key_);
        if (known == items_.end() || stableHash(known->second.item_.value_) != unchanged.valueHash_) {
            return false;
        }
        update.items_.push_back({std::move(unchanged.key_), known->second.item_.value_, unchanged.version_, {}});
    }
    update.unchanged_.clear();
    return true;
}

void StoreView::keepForGrace(const std::set<std::string> &present, StoreVersion at, TimePoint now)
{
    keepServersForGrace(present, at, now);
    for (const auto &domain : evacuatedDomains_) {
        if (const auto key = Platform::EvacuationPrefix + domain; !present.contains(key)) {
            expired_[key] = eraGraceUntil();
        }
    }
    for (const auto &[name, member] : members_) {
        if (const auto key = memberKey(name); !present.contains(key)) {
            expired_[key] = eraGraceUntil();
        }
    }
}

void StoreView::keepServersForGrace(const std::set<std::string> &present, StoreVersion at, TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &[id, server] : servers_) {
        // Whether an entry is missing is judged by the newer content alone.
        notices_->withdrawPendingStoreSign(server.description_.incarnation(), now);
        if (!present.contains(Platform::ServerPrefix + id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        removeServer(id, at, now);
    }
}

bool StoreView::isWrittenSince(const LeavingNotice &notice, const ServerDescription &description, StoreVersion version) const
{
    if (notice.sequence_ == 0 || description.sequence_ == 0 || description.startTime_ == 0) {
        return version > eraReadAt_;
    }
    return description.sequence_ > notice.sequence_;
}

void StoreView::recordForgottenLeaving(const ServerIncarnation &server, const LeavingNotice &notice, TimePoint now)
{
    const auto known = servers_.find(server.id_);
    const bool isKnown = known != servers_.end() && known->second.description_.incarnation() == server;
    const bool isLater =
        isKnown && known->second.version_.era_ > notice.version_.era_ && isWrittenSince(notice, known->second.description_, known->second.version_);
    if (notice.version_.era_ < at_.era_ && !isLater) {
        notices_->recordForgottenLeaving(server, notice, now);
    }
}

bool StoreView::isOlderDescription(const ServerDescription &description, StoreVersion version) const
{
    const auto known = servers_.find(description.id_);
    if (known == servers_.end() || known->second.version_.era_ >= version.era_) {
        return false;
    }
    const auto &inUse = known->second.description_;
    const bool isSameRun = description.startTime_ != 0 && inUse.startTime_ == description.startTime_;
    return isSameRun && description.sequence_ != 0 && description.sequence_ < inUse.sequence_;
}

bool StoreView::isReplacedRun(const ServerDescription &description, StoreVersion version) const
{
    if (description.startTime_ == 0) {
        return false;
    }
    const auto known = servers_.find(description.id_);
    const bool isYoungerInUse =
        known != servers_.end() && known->second.version_.era_ < version.era_ && known->second.description_.startTime_ > description.startTime_;
    return isYoungerInUse || notices_->hasLaterRunLeft(description.incarnation(), version.era_);
}

void StoreView::keepYoungerRun(const ServerDescription &older, StoreVersion version, TimePoint now)
{
    const auto known = servers_.find(older.id_);
    if (known == servers_.end() || known->second.description_.startTime_ <= older.startTime_) {
        return;
    }
    const TimePoint until = std::max(now, eraGraceUntil());
    recordLeaving(older, LeavingReason::Restarted, known->second.version_, now, now);
    recordLeaving(known->second.description_, LeavingReason::Removed, version, until, now);
    expired_[Platform::ServerPrefix + older.id_] = until;
}

} // namespace Goldcrestwall::Gateway
