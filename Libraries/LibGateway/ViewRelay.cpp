// Peer selection and exchange of view changes.
#include "ViewRelay.h"

#include <numeric>

namespace Goldcrestwall::Gateway {

namespace {

// Answers to requests for the view that are on their way to all peers together.
constexpr std::size_t MaxAnswerBytes = 1U << 20U;
// Bytes that one change takes on all connections together. Instances that do not get it are told that there is one, and ask.
constexpr std::size_t MaxPushBytes = 1U << 20U;
// Minimum number of instances watching the store that each instance is connected to.
constexpr std::size_t MinWatchers = 2;

// Size of the keys and values.
std::size_t contentBytes(const ViewUpdateMessage &message)
{
    return std::transform_reduce(message.items_.begin(), message.items_.end(), std::size_t(0), std::plus<>(), [](const ViewItem &item) {
        return item.key_.size() + item.value_.size();
    });
}

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
    , asker_(stableHash(instance_))
    , answers_(MaxAnswerBytes)
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
    const auto ownMember = own == watchers.end() || own->second == instance_ ? view_.members().end() : view_.members().find(own->second);
    role_ =
        Role{view_.changeCount(), isFollower, watcherAddresses(watchers), ownMember == view_.members().end() ? std::string() : ownMember->second.peerAddress_};
    return *role_;
}

void ViewRelay::refresh(const std::vector<std::string> &seeds, TimePoint now)
{
    // In a new era, those that watch the store read its content first, and whom to ask for it is known as long as the view was confirmed lately.
    const bool isBrought = storeLink_.isEraOutdated() && asker_.isBehind() && now - view_.knownEraAt() < MaxEraRelayTime;
    const bool isEraRelayed = isBrought || (storeLink_.isEraOutdated() && storeLink_.isConfirmed(now));
    const bool isRelayed = view_.configuration() && (storeLink_.isCurrent(now) || isEraRelayed);
    storeLink_.setRelayed(isRelayed && role().isFollower_, isBrought);
    // While the view is stale, any reachable instance may have a newer one.
    auto addresses = isRelayed ? role().watchers_ : allAddresses(seeds);
    if (const auto self = view_.members().find(instance_); self != view_.members().end()) {
        addresses.erase(self->second.peerAddress_);
    }
    network_.setVersion(view_.at());
    network_.setRequiredAddresses(std::move(addresses), now);
    auto watchers = role().watchers_;
    std::erase_if(watchers, [this, now](const std::string &address) {
        return !network_.link(address, now);
    });
    network_.setChangeSources(chooseChangeSources(instance_, role().ownWatcher_, watchers), now);
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
    for (const auto &link : network_.openLinks(now)) {
        storeLink_.expectVersion(link->version(), now);
        const bool isSameEra = link->version().era_ == view_.at().era_;
        if (isSameEra && link->version() <= view_.at() && link->isViewCurrent()) {
            storeLink_.recordRelayed(link->confirmedAt());
        }
    }
    ask(now);
    pushToSources(now);
}

void ViewRelay::push(const ViewChange &change, const std::shared_ptr<PeerLink> &from)
{
    const PeerFrame frame = std::make_shared<const std::string>(encodeFrame(toMessage(change)));
    std::size_t bytes = 0;
    for (const auto &link : network_.changeReceivers()) {
        bytes += frame->size();
        if (bytes > MaxPushBytes) {
            break;
        }
        if (link != from) {
            link->send(frame);
        }
    }
}

void ViewRelay::pushToSources(TimePoint now)
{
    std::erase_if(toldVersions_, [this](const auto &entry) {
        return !network_.changeSources().contains(entry.first);
    });
    for (const auto &address : network_.changeSources()) {
        const auto link = network_.link(address, now);
        if (!link || !link->acceptsChanges()) {
            continue;
        }
        for (const auto &change : changes_.takeMissing(link->version(), toldVersions_[address], now)) {
            link->send(toMessage(change));
        }
    }
}

bool ViewRelay::handleChange(const std::shared_ptr<PeerLink> &link, ViewChangeMessage message, TimePoint now)
{
    link->recordVersion(message.to());
    storeLink_.expectEra(message.era_, now);
    const auto before = view_.at();
    const auto changesBefore = view_.changeCount();
    auto change = toViewChange(std::move(message));
    LogLine line("change-pushed");
    line.add("peer", link->instance())
        .add("from", change.from_)
        .add("to", change.to_)
        .add("known", before)
        .add("items", change.items_.size())
        .add("removed", change.removals_.size())
        .add("bytes", contentBytes(change));
    const auto passedOn = changes_.receive(std::move(change), view_, now);
    if (passedOn) {
        push(*passedOn, link);
    }
    const bool isNew = view_.at() != before || view_.changeCount() != changesBefore;
    if (isNew) {
        log_.write(line.add("storeVersion", view_.at()), LogImportance::Sampled, now);
    }
    return isNew;
}

void ViewRelay::ask(TimePoint now)
{
    const auto links = network_.openLinks(now);
    std::vector<ViewSource> sources;
    for (const auto &link : links) {
        sources.push_back({link->address(), link->version(), link->domain() == domain_, link->incomingBytes()});
    }
    if (const auto chosen = asker_.choose(sources, {view_.at(), storeLink_.isCurrent(now), storeLink_.isWatching()}, now)) {
        const auto link = std::ranges::find_if(links, [&chosen](const std::shared_ptr<PeerLink> &candidate) {
            return candidate->address() == *chosen;
        });
        const auto version = needsCompleteContent_ ? StoreVersion() : view_.at();
        (*link)->send(ViewRequestMessage{version.revision_, version.era_});
    }
}

PongMessage ViewRelay::makePong(std::int64_t pingSentAt, TimePoint now) const
{
    PongMessage pong;
    pong.revision_ = view_.at().revision_;
    pong.era_ = view_.at().era_;
    pong.isViewCurrent_ = storeLink_.isCurrent(now);
    pong.pingSentAt_ = pingSentAt;
    pong.viewAge_ = (now - storeLink_.confirmedAt()).count();
    pong.sentAt_ = now.time_since_epoch().count();
    pong.acceptsChanges_ = true;
    pong.configurationRevision_ = view_.configurationStoreVersion().revision_;
    for (const auto &server : notices_->announcedOnly()) {
        pong.leavingServers_.push_back({server.id_, server.startTime_});
    }
    for (const auto &change : notices_->forgotten(now)) {
        pong.forgottenServers_.push_back(toForgottenServer(change));
    }
    // A granter of an earlier era must not go on because of an instance that will claim in a later one.
    if (pingSentAt != 0 && !storeLink_.isEraOutdated()) {
        pong.claimsWithheldFor_ = storeLink_.withholdClaims(now).count();
    }
    return pong;
}

void ViewRelay::announce(TimePoint now)
{
    if (const auto change = changes_.takeDue(view_, now)) {
        push(*change, nullptr);
    }
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
    // An instance that others follow may hear of changes from nobody but them.
    storeLink_.expectVersion(message.version(), now);
    link->send(makePong(message.sentAt_, now));
}

void ViewRelay::handlePong(const std::shared_ptr<PeerLink> &link, const PongMessage &message, TimePoint now)
{
    for (const auto &server : message.leavingServers_) {
        notices_->recordLeaving({server.id_, server.startTime_}, {LeavingReason::Announced, NoticeSource::Peer, now, now, {}}, now);
    }
    for (const auto &server : message.forgottenServers_) {
        view_.recordForgottenLeaving({server.id_, server.startTime_}, toLeavingNotice(server, now), now);
    }
    storeLink_.expectEra(message.era_, now);
    view_.expectConfiguration(message.configurationStoreVersion(), now);
    noteCurrentPeers(now);
    if (link->domain() == domain_ && link->version() > view_.at() && !storeLink_.isWatching()) {
        ask(now);
    }
}

void ViewRelay::handleRequest(const std::shared_ptr<PeerLink> &link, const ViewRequestMessage &message, TimePoint now)
{
    storeLink_.expectEra(message.era_, now);
    if (view_.at() > message.version()) {
        answers_.request(link, message.version(), now);
        serve(now);
    }
}

void ViewRelay::serve(TimePoint now)
{
    std::vector<std::shared_ptr<PeerLink>> finished;
    for (const auto &[link, sending] : sending_) {
        if (!link->isOpen() || link->deliveredTotal() >= sending.end_) {
            finished.push_back(link);
        }
    }
    for (const auto &link : finished) {
        sending_.erase(link);
        answers_.recordSent(link);
    }
    const auto sizeOf = [this](StoreVersion version) {
        return view_.changeBytes(version);
    };
    for (const auto &turn : answers_.takeDue(sizeOf, now)) {
        const auto frame = encodeAnswer(turn.version_);
        turn.link_->send(frame);
        sending_[turn.link_] = {frame, turn.link_->queuedTotal()};
    }
}

PeerFrame ViewRelay::encodeAnswer(StoreVersion version)
{
    if (encodings_.changeCount_ != view_.changeCount() || encodings_.at_ != view_.at()) {
        encodings_ = {view_.changeCount(), view_.at(), {}};
    }
    auto &known = encodings_.frames_[view_.needsSnapshot(version) && !view_.remembersEraOf(version) ? StoreVersion() : version];
    auto frame = known.lock();
    if (!frame) {
        frame = std::make_shared<const std::string>(encodeFrame(toMessage(view_.changesSince(version))));
        known = frame;
    }
    return frame;
}

std::size_t ViewRelay::answerBytes() const
{
    std::set<PeerFrame> frames;
    for (const auto &[link, sending] : sending_) {
        if (auto frame = sending.frame_.lock()) {
            frames.insert(std::move(frame));
        }
    }
    return std::transform_reduce(frames.begin(), frames.end(), std::size_t(0), std::plus<>(), [](const PeerFrame &frame) {
        return frame->size();
    });
}

void ViewRelay::removePeer(const std::shared_ptr<PeerLink> &link)
{
    answers_.remove(link);
    sending_.erase(link);
}

bool ViewRelay::handleUpdate(const std::shared_ptr<PeerLink> &link, ViewUpdateMessage message, TimePoint now)
{
    const auto timing = asker_.timing(now);
    asker_.recordAnswer(link->address());
    if (message.version() <= view_.at()) {
        return false;
    }
    log_.write(LogLine("view-from-peer")
                   .add("peer", link->address())
                   .add("storeVersion", message.version())
                   .add("known", view_.at())
                   .add("items", message.items_.size())
                   .add("unchanged", message.unchanged_.size())
                   .add("bytes", contentBytes(message))
                   .addDuration("behindForMs", timing.behindFor_)
                   .addDuration("askedForMs", timing.askedFor_)
                   .addDuration("firstByteMs", timing.firstByteAfter_),
               LogImportance::Sampled,
               now);
    auto update = toViewUpdate(std::move(message));
    // Another part of it may have been pushed meanwhile, or the peer's view was another one.
    needsCompleteContent_ = !view_.completeUpdate(update);
    if (needsCompleteContent_) {
        return false;
    }
    view_.apply(update, now);
    return true;
}

} // namespace Goldcrestwall::Gateway
