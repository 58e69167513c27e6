// Peer selection and exchange of view changes.
#include "ViewRelay.h"

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration RequestInterval = 250ms;
// The own failure domain's watcher gets this time to announce a change before instances of other failure domains are asked.
constexpr Duration OwnDomainDelay = 150ms;
// Minimum number of instances watching the store that each instance is connected to.
constexpr std::size_t MinWatchers = 2;

} // namespace

ViewRelay::ViewRelay(std::string instance,
                     std::string domain,
                     StoreView &view,
                     StoreLink &storeLink,
                     PeerNetwork &network,
                     std::shared_ptr<ServerNotices> notices,
                     EventLog &log)
    : instance_(std::move(instance))
    , domain_(std::move(domain))
    , view_(view)
    , storeLink_(storeLink)
    , network_(network)
    , notices_(std::move(notices))
    , log_(log)
{
}

std::set<std::string> ViewRelay::watcherAddresses(const std::map<std::string, std::string> &watchers) const
{
    std::set<std::string> addresses;
    const auto add = [&](const std::string &name) {
        const auto member = view_.members().find(name);
        if (name != instance_ && member != view_.members().end()) {
            addresses.insert(member->second.peerAddress_);
        }
    };
    if (const auto configuration = view_.configuration()) {
        for (const auto &service : configuration->services_) {
            const auto *coordinator = view_.coordinator(service.name_);
            if (coordinator != nullptr && coordinator->member_.name_ != instance_) {
                addresses.insert(coordinator->member_.peerAddress_);
            }
        }
    }
    if (const auto own = watchers.find(domain_); own != watchers.end()) {
        add(own->second);
    }
    for (const auto &[domain, watcher] : watchers) {
        if (addresses.size() < MinWatchers) {
            add(watcher);
        }
    }
    return addresses;
}

std::set<std::string> ViewRelay::allAddresses(const std::vector<std::string> &seeds) const
{
    std::set<std::string> addresses(seeds.begin(), seeds.end());
    for (const auto &[name, member] : view_.members()) {
        addresses.insert(member.peerAddress_);
    }
    return addresses;
}

const ViewRelay::Role &ViewRelay::role()
{
    if (role_ && role_->changeCount_ == view_.changeCount()) {
        return *role_;
    }
    const auto instances = view_.instances();
    const auto watchers = watchersByDomain(instances);
    const auto own = watchers.find(domain_);
    const bool isCoordinator = std::ranges::any_of(instances, [this](const InstanceProfile &profile) {
        return profile.name_ == instance_ && profile.coordinatedServices_ > 0;
    });
    const bool isFollower = !isCoordinator && own != watchers.end() && own->second != instance_;
    role_ = Role{view_.changeCount(), isFollower, watcherAddresses(watchers)};
    return *role_;
}

void ViewRelay::refresh(const std::vector<std::string> &seeds, TimePoint now)
{
    const bool isCurrent = view_.configuration() && storeLink_.isCurrent(now);
    storeLink_.setRelayed(isCurrent && role().isFollower_);
    // While the view is stale, any reachable instance may have a newer one.
    auto addresses = isCurrent ? role().watchers_ : allAddresses(seeds);
    if (const auto self = view_.members().find(instance_); self != view_.members().end()) {
        addresses.erase(self->second.peerAddress_);
    }
    network_.setRequiredAddresses(std::move(addresses), now);
}

void ViewRelay::noteCurrentPeers(TimePoint now)
{
    const bool wasPeerCurrent = isPeerCurrent_;
    isPeerCurrent_ = std::ranges::any_of(network_.openLinks(now), [](const std::shared_ptr<PeerLink> &link) {
        return link->isViewCurrent();
    });
    if (isPeerCurrent_ && !wasPeerCurrent && !storeLink_.isCurrent(now)) {
        storeLink_.retryNow();
    }
}

void ViewRelay::follow(TimePoint now)
{
    noteCurrentPeers(now);
    wasCurrent_ = storeLink_.isCurrent(now);
    const auto links = network_.openLinks(now);
    bool isBehind = false;
    for (const auto &link : links) {
        storeLink_.expectRevision(link->revision(), now);
        if (link->revision() > view_.at()) {
            isBehind = true;
        } else if (link->isViewCurrent()) {
            storeLink_.recordRelayed(link->confirmedAt());
        }
    }
    if (!isBehind) {
        behindSince_ = TimePoint();
    } else if (behindSince_ == TimePoint()) {
        behindSince_ = now;
    }
    const bool mustAsk = !storeLink_.isCurrent(now) || (isBehind && now - behindSince_ >= OwnDomainDelay);
    if (!mustAsk || now - requestedAt_ < RequestInterval) {
        return;
    }
    for (const auto &link : links) {
        if (link->revision() > view_.at() || !storeLink_.isCurrent(now)) {
            requestedAt_ = now;
            link->send(ViewRequestMessage{view_.at()});
        }
    }
}

PongMessage ViewRelay::makePong(std::int64_t pingSentAt, TimePoint now) const
{
    PongMessage pong{view_.at(), storeLink_.isCurrent(now), pingSentAt, (now - storeLink_.confirmedAt()).count(), {}, 0};
    for (const auto &server : notices_->announcedOnly()) {
        pong.leavingServers_.push_back({server.id_, server.startTime_});
    }
    if (pingSentAt != 0) {
        pong.claimsWithheldFor_ = storeLink_.withholdClaims(now).count();
    }
    return pong;
}

void ViewRelay::announce(TimePoint now)
{
    if (!storeLink_.isWatching()) {
        return;
    }
    // After an outage all others may still be waiting to try the store again.
    if (storeLink_.isCurrent(now) && !wasCurrent_) {
        wasCurrent_ = true;
        network_.announceToAll(makePong(0, now));
    } else {
        network_.announce(makePong(0, now));
    }
}

void ViewRelay::handlePing(const std::shared_ptr<PeerLink> &link, const PingMessage &message, TimePoint now)
{
    link->send(makePong(message.sentAt_, now));
}

void ViewRelay::handlePong(const std::shared_ptr<PeerLink> &link, const PongMessage &message, TimePoint now)
{
    for (const auto &server : message.leavingServers_) {
        notices_->recordLeaving({server.id_, server.startTime_}, {LeavingReason::Announced, NoticeSource::Peer, now, now, 0}, now);
    }
    noteCurrentPeers(now);
    if (link->domain() == domain_ && link->revision() > view_.at() && !storeLink_.isWatching() && now - requestedAt_ >= RequestInterval) {
        requestedAt_ = now;
        link->send(ViewRequestMessage{view_.at()});
    }
}

void ViewRelay::handleRequest(const std::shared_ptr<PeerLink> &link, const ViewRequestMessage &message)
{
    if (view_.at() > message.revision_) {
        link->send(toMessage(view_.changesSince(message.revision_)));
    }
}

bool ViewRelay::handleUpdate(const std::shared_ptr<PeerLink> &link, ViewUpdateMessage message, TimePoint now)
{
    requestedAt_ = TimePoint();
    if (message.at_ <= view_.at()) {
        return false;
    }
    log_.write(LogLine("view-from-peer").add("peer", link->address()).add("revision", message.at_).add("known", view_.at()), LogImportance::Sampled, now);
    view_.apply(toViewUpdate(std::move(message)), now);
    return true;
}

} // namespace Goldcrestwall::Gateway
