// Collects signs about servers and decides whether they may be sent requests.
#include "ServerNotices.h"

#include <algorithm>
#include <limits>

namespace Goldcrestwall::Gateway {

namespace {

// Far more runs than leave within the time that a server takes to exit.
constexpr std::size_t MaxServers = 4000;
constexpr std::size_t MaxHeldBackEntries = 4000;
// Other instances are told of so many; the store soon says the same of them.
constexpr std::size_t MaxAnnouncedOnly = 64;
constexpr std::size_t MaxForgotten = 64;

} // namespace

const char *leavingReasonName(LeavingReason reason)
{
    switch (reason) {
    case LeavingReason::Draining:
        return "draining";
    case LeavingReason::Removed:
        return "removed";
    case LeavingReason::Restarted:
        return "restarted";
    case LeavingReason::Announced:
        return "announced";
    }
    return "unknown";
}

const char *noticeSourceName(NoticeSource source)
{
    switch (source) {
    case NoticeSource::Watch:
        return "watch";
    case NoticeSource::Read:
        return "read";
    case NoticeSource::Peer:
        return "peer";
    case NoticeSource::Response:
        return "response";
    }
    return "unknown";
}

const char *sendVerdictName(SendVerdict verdict)
{
    switch (verdict) {
    case SendVerdict::Allowed:
        return "allowed";
    case SendVerdict::Leaving:
        return "leaving";
    case SendVerdict::Evacuated:
        return "evacuated";
    case SendVerdict::HeldBack:
        return "held-back";
    case SendVerdict::LimitUnknown:
        return "limit-unknown";
    }
    return "unknown";
}

SendDecision decideSend(const ServerSigns &signs, TimePoint now)
{
    SendDecision decision;
    for (const auto &notice : {signs.announced_, signs.store_}) {
        if (notice && now >= notice->bindsFrom_) {
            decision.verdict_ = SendVerdict::Leaving;
            decision.notice_ = notice;
            return decision;
        }
    }
    if (signs.isEvacuated_) {
        decision.verdict_ = SendVerdict::Evacuated;
    } else if (now < signs.heldBackUntil_) {
        decision.verdict_ = SendVerdict::HeldBack;
        decision.heldBackUntil_ = signs.heldBackUntil_;
    }
    return decision;
}

bool ServerNotices::recordLeaving(const ServerIncarnation &server, const LeavingNotice &notice, TimePoint now)
{
    const auto [known, isNew] = signs_.try_emplace(server);
    auto &sign = notice.reason_ == LeavingReason::Announced ? known->second.announced_ : known->second.store_;
    const std::uint64_t sequence = std::max(sign ? sign->sequence_ : 0, notice.sequence_);
    if (sign && sign->bindsFrom_ <= notice.bindsFrom_) {
        sign->sequence_ = sequence;
        return false;
    }
    sign = notice;
    sign->sequence_ = sequence;
    hasAnnounced_ = hasAnnounced_ || notice.reason_ == LeavingReason::Announced;
    updateAnnouncedOnly(server, known->second);
    if (isNew) {
        order_.push_back(server);
        forgetOldest();
    }
    if (handler_) {
        handler_({server, notice}, now);
    }
    return true;
}

void ServerNotices::withdrawStoreSign(const ServerIncarnation &server, TimePoint now)
{
    const auto known = signs_.find(server);
    if (known == signs_.end() || !known->second.store_) {
        return;
    }
    known->second.store_.reset();
    std::erase(forgotten_, server);
    updateAnnouncedOnly(server, known->second);
    if (handler_) {
        handler_({server, std::nullopt}, now);
    }
}

void ServerNotices::withdrawPendingStoreSign(const ServerIncarnation &server, TimePoint now)
{
    const auto *known = signs(server);
    if (known != nullptr && known->store_ && now < known->store_->bindsFrom_) {
        withdrawStoreSign(server, now);
    }
}

void ServerNotices::recordForgotten(const ServerIncarnation &server)
{
    const auto *known = signs(server);
    if (known == nullptr || !known->store_) {
        return;
    }
    std::erase(forgotten_, server);
    forgotten_.push_back(server);
    if (forgotten_.size() > MaxForgotten) {
        forgotten_.pop_front();
    }
}

void ServerNotices::recordForgottenLeaving(const ServerIncarnation &server, const LeavingNotice &notice, TimePoint now)
{
    hasAnnounced_ = true;
    if (recordLeaving(server, notice, now)) {
        recordForgotten(server);
    }
}

std::vector<ServerChange> ServerNotices::forgotten(TimePoint now) const
{
    std::vector<ServerChange> changes;
    for (const auto &server : forgotten_) {
        const auto *known = signs(server);
        if (known != nullptr && known->store_ && now >= known->store_->bindsFrom_) {
            changes.push_back({server, known->store_});
        }
    }
    return changes;
}

void ServerNotices::updateAnnouncedOnly(const ServerIncarnation &server, const ServerSigns &signs)
{
    std::erase(announcedOnly_, server);
    if (signs.announced_ && !signs.store_) {
        announcedOnly_.push_back(server);
    }
    if (announcedOnly_.size() > MaxAnnouncedOnly) {
        announcedOnly_.pop_front();
    }
}

void ServerNotices::forgetOldest()
{
    if (order_.size() > MaxServers) {
        signs_.erase(order_.front());
        order_.pop_front();
    }
}

void ServerNotices::forgetExpired(TimePoint now)
{
    std::erase_if(heldBack_, [now](const auto &entry) {
        return entry.second <= now;
    });
}

void ServerNotices::holdBack(const ServerIncarnation &server, const std::string &instance, Duration duration, TimePoint now)
{
    if (heldBack_.size() >= MaxHeldBackEntries) {
        forgetExpired(now);
    }
    if (duration <= Duration::zero() || heldBack_.size() >= MaxHeldBackEntries) {
        return;
    }
    const TimePoint until = now + std::min(duration, MaxHoldBack);
    auto &known = heldBack_[{server, instance}];
    known = std::max(known, until);
    lastHeldBackUntil_ = std::max(lastHeldBackUntil_, until);
}

SendDecision ServerNotices::decide(const ServerIncarnation &server, const std::string &instance, bool isEvacuated, TimePoint now) const
{
    const auto *known = signs(server);
    ServerSigns signs = known == nullptr ? ServerSigns() : *known;
    signs.isEvacuated_ = isEvacuated;
    if (hasHeldBack(now)) {
        signs.heldBackUntil_ = heldBackUntil(server, instance);
    }
    return decideSend(signs, now);
}

TimePoint ServerNotices::heldBackUntil(const ServerIncarnation &server, const std::string &instance) const
{
    const auto found = heldBack_.find({server, instance});
    return found == heldBack_.end() ? TimePoint() : found->second;
}

bool ServerNotices::isLeaving(const ServerIncarnation &server, TimePoint now) const
{
    const auto *known = signs(server);
    return known != nullptr && decideSend(*known, now).verdict_ == SendVerdict::Leaving;
}

bool ServerNotices::hasHeldBack(TimePoint now) const
{
    return now < lastHeldBackUntil_;
}

const ServerSigns *ServerNotices::signs(const ServerIncarnation &server) const
{
    const auto found = signs_.find(server);
    return found == signs_.end() ? nullptr : &found->second;
}

bool ServerNotices::hasLaterRunLeft(const ServerIncarnation &server, StoreEra era) const
{
    const auto first = signs_.upper_bound(server);
    const auto last = signs_.upper_bound({server.id_, std::numeric_limits<UnixMilliseconds>::max()});
    return std::any_of(first, last, [era](const auto &entry) {
        return entry.second.store_ && entry.second.store_->version_.era_ < era;
    });
}

} // namespace Goldcrestwall::Gateway
