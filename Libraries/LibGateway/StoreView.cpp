// Applying and decoding the store's entries.
#include "StoreView.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Goldcrestwall::Gateway {

using Platform::StoreItem;
using Json = nlohmann::json;

namespace {

constexpr const char *MemberPrefix = "goldcrestwall/members/";
constexpr const char *CoordinatorPrefix = "goldcrestwall/leaders/";
constexpr const char *AssignmentPrefix = "goldcrestwall/shards/";
constexpr std::size_t MaxRemovals = 2000;
// Instances ask for the content of a new era within this time.
constexpr Duration EarlierContentTime = 10s;
// No machine has more.
constexpr std::uint64_t MaxCpuMillicores = 1'000'000;

// Returns the rest of the key after the prefix, or nothing if the key does not start with it.
std::optional<std::string> withoutPrefix(const std::string &key, std::string_view prefix)
{
    return key.starts_with(prefix) ? std::make_optional(key.substr(prefix.size())) : std::nullopt;
}

// Throws if a field is missing or has another type.
std::optional<MemberEntry> readMember(const Json &document)
{
    MemberEntry member;
    document.at("name").get_to(member.name_);
    document.at("incarnation").get_to(member.incarnation_);
    document.at("peerAddress").get_to(member.peerAddress_);
    document.at("domain").get_to(member.domain_);
    const auto &cpu = document.at("processorMilli");
    const bool isUsable = cpu.is_number_unsigned() && cpu.get<std::uint64_t>() <= MaxCpuMillicores && parseEndpoint(member.peerAddress_);
    if (!isUsable) {
        return std::nullopt;
    }
    member.cpuMillicores_ = cpu.get<std::uint32_t>();
    // Earlier versions do not write it.
    member.era_ = document.value("era", StoreEra(0));
    return member;
}

std::optional<MemberEntry> parseMember(const std::string &text)
{
    try {
        return readMember(Json::parse(text));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::optional<CoordinatorEntry> decodeCoordinator(const std::string &text, StoreVersion version)
{
    try {
        const auto document = Json::parse(text);
        const auto member = readMember(document);
        if (!member) {
            return std::nullopt;
        }
        CoordinatorEntry coordinator;
        coordinator.member_ = *member;
        // Earlier versions write no lease. They may coordinate, but this version never grants keys on such an entry.
        coordinator.lease_ = {member->era_, document.value("lease", coordinator.lease_.number_)};
        coordinator.isYielding_ = document.value("yielding", false);
        coordinator.hasPredecessorYielded_ = document.value("predecessorYielded", false);
        coordinator.version_ = version;
        coordinator.writtenAt_ = {member->era_, version.revision_};
        return coordinator;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

Json memberDocument(const MemberEntry &member)
{
    return Json{{"name", member.name_},
                {"incarnation", member.incarnation_},
                {"peerAddress", member.peerAddress_},
                {"domain", member.domain_},
                {"processorMilli", member.cpuMillicores_},
                {"era", member.era_}};
}

} // namespace

bool bindsInTime(const std::string &key)
{
    return key == Platform::ConfigurationKey || key.starts_with(Platform::ServerPrefix) || key.starts_with(Platform::EvacuationPrefix);
}

std::string memberKey(const std::string &instance)
{
    return MemberPrefix + instance;
}

std::string coordinatorKey(const std::string &service)
{
    return CoordinatorPrefix + service;
}

std::string assignmentKey(const std::string &service)
{
    return AssignmentPrefix + service;
}

std::string encodeMember(const MemberEntry &member)
{
    return memberDocument(member).dump();
}

std::string encodeCoordinator(const CoordinatorEntry &coordinator)
{
    auto document = memberDocument(coordinator.member_);
    document["lease"] = coordinator.lease_.number_;
    document["yielding"] = coordinator.isYielding_;
    document["predecessorYielded"] = coordinator.hasPredecessorYielded_;
    return document.dump();
}

void StoreView::apply(const std::vector<Platform::StoreEvent> &events, StoreVersion at, TimePoint now)
{
    if (isOfOtherEra(at)) {
        return;
    }
    source_ = NoticeSource::Watch;
    for (const auto &event : events) {
        if (event.isRemoved_) {
            remove(event.item_.key_, event.item_.version_, now);
        } else {
            put(event.item_, at, now);
        }
    }
    advance(std::max(at_, at));
}

void StoreView::advance(StoreVersion at)
{
    at_ = at;
    std::erase_if(itemsAhead_, [this](const std::string &key) {
        const auto known = items_.find(key);
        return known == items_.end() || known->second.item_.version_ <= at_;
    });
}

void StoreView::removeUnlistedAhead(const std::vector<StoreItem> &items, StoreVersion at, TimePoint now)
{
    const auto keys = itemsAhead_;
    for (const auto &key : keys) {
        const auto known = items_.find(key);
        if (known != items_.end() && known->second.item_.version_ <= at && std::ranges::find(items, key, &StoreItem::key_) == items.end()) {
            remove(key, at, now);
        }
    }
}

void StoreView::replace(const std::vector<StoreItem> &items, StoreVersion at, TimePoint now)
{
    source_ = NoticeSource::Read;
    replaceItems(items, at, now);
}

void StoreView::replaceItems(const std::vector<StoreItem> &items, StoreVersion at, TimePoint now)
{
    if (at < at_) {
        return;
    }
    if (!at_.exists() || isOfOtherEra(at)) {
        beginEra(items, at, now);
    }
    std::set<std::string> present;
    for (const auto &item : items) {
        present.insert(item.key_);
    }
    std::vector<std::string> gone;
    for (const auto &[key, item] : items_) {
        if (!present.contains(key)) {
            gone.push_back(key);
        }
    }
    for (const auto &key : gone) {
        remove(key, at, now);
    }
    for (const auto &item : items) {
        put(item, at, now);
    }
    if (!removalHistoryStart_.exists()) {
        removalHistoryStart_ = at;
    }
    advance(at);
}

void StoreView::apply(const ViewUpdate &update, TimePoint now)
{
    if (update.at_ <= at_ || (isOfOtherEra(update.at_) && !update.isSnapshot_)) {
        return;
    }
    source_ = NoticeSource::Peer;
    if (update.isSnapshot_) {
        replaceItems(update.items_, update.at_, now);
        return;
    }
    removeUnlistedAhead(update.items_, update.at_, now);
    for (const auto &key : update.removedKeys_) {
        remove(key, update.at_, now);
    }
    for (const auto &item : update.items_) {
        put(item, update.at_, now);
    }
    advance(update.at_);
}

bool StoreView::apply(const ViewChange &change, TimePoint now)
{
    if (!at_.exists() || isOfOtherEra(change.to_)) {
        return false;
    }
    source_ = NoticeSource::Peer;
    const auto changesBefore = changeCount_;
    if (!change.isComplete_ || change.from_ > at_ || change.to_ <= at_) {
        applyPart(change, now);
        return changeCount_ != changesBefore;
    }
    removeUnlistedAhead(change.items_, change.to_, now);
    for (const auto &removal : change.removals_) {
        remove(removal.key_, removal.version_, now);
    }
    for (const auto &item : change.items_) {
        put(item, change.to_, now);
    }
    advance(change.to_);
    return true;
}

void StoreView::applyPart(const ViewChange &change, TimePoint now)
{
    // What is not newer than the view has been replaced or removed, also if the view has forgotten when.
    for (const auto &removal : change.removals_) {
        if (bindsInTime(removal.key_) && removal.version_ > at_) {
            remove(removal.key_, removal.version_, now);
        }
    }
    for (const auto &item : change.items_) {
        if (bindsInTime(item.key_) && item.version_ > at_) {
            put(item, at_, now);
        }
    }
}

ViewChange StoreView::changeSince(StoreVersion version) const
{
    ViewChange change{version, at_, !needsSnapshot(version), {}, {}};
    if (!change.isComplete_) {
        return change;
    }
    for (const auto &[key, known] : items_) {
        if (known.relayVersion_ > version) {
            change.items_.push_back(known.item_);
        }
    }
    for (const auto &[key, removedAt] : removedAt_) {
        if (removedAt > version && !items_.contains(key)) {
            change.removals_.push_back({key, removedAt});
        }
    }
    return change;
}

bool StoreView::needsSnapshot(StoreVersion version) const
{
    return version < removalHistoryStart_ || !version.exists();
}

std::size_t StoreView::changeBytes(StoreVersion version) const
{
    const bool isSnapshot = needsSnapshot(version);
    std::size_t bytes = 0;
    for (const auto &[key, known] : items_) {
        if (isSnapshot && isValueKnownAt(version, known.item_)) {
            bytes += key.size() + sizeof(UnchangedItem::valueHash_);
        } else if (isSnapshot || known.relayVersion_ > version) {
            bytes += key.size() + known.item_.value_.size();
        }
    }
    for (const auto &[removedAt, key] : removals_) {
        bytes += !isSnapshot && removedAt > version ? key.size() : 0;
    }
    return bytes;
}

ViewUpdate StoreView::changesSince(StoreVersion version) const
{
    ViewUpdate update;
    update.at_ = at_;
    update.isSnapshot_ = needsSnapshot(version);
    for (const auto &[key, known] : items_) {
        if (update.isSnapshot_ && isValueKnownAt(version, known.item_)) {
            update.unchanged_.push_back({key, known.item_.version_, stableHash(known.item_.value_)});
        } else if (update.isSnapshot_ || known.relayVersion_ > version) {
            update.items_.push_back(known.item_);
        }
    }
    if (!update.isSnapshot_) {
        for (const auto &[removedAt, key] : removals_) {
            if (removedAt > version && !items_.contains(key)) {
                update.removedKeys_.push_back(key);
            }
        }
    }
    return update;
}

void StoreView::put(const StoreItem &item, StoreVersion at, TimePoint now)
{
    const auto known = items_.find(item.key_);
    if (known != items_.end() && known->second.item_.version_ >= item.version_) {
        return;
    }
    // A watch or a peer that was held up may report an item that others have reported as removed since. A complete read may only if a peer
    // has pushed the removal before.
    const auto removed = removedAt_.find(item.key_);
    const bool mayBeOlder = source_ != NoticeSource::Read || (removed != removedAt_.end() && removed->second > at);
    if (mayBeOlder && removed != removedAt_.end() && removed->second >= item.version_) {
        return;
    }
    // Peers that got this view's earlier state have a version that is not below the item's and lack it nevertheless.
    const bool isLate = item.version_ <= at_;
    lateItemCount_ += isLate ? 1 : 0;
    items_[item.key_] = {item, isLate ? std::max(at, item.version_) : item.version_};
    if (item.version_ > at) {
        itemsAhead_.insert(item.key_);
    }
    ++changeCount_;
    decode(item, now);
}

void StoreView::remove(const std::string &key, StoreVersion version, TimePoint now)
{
    const auto known = items_.find(key);
    if (known == items_.end()) {
        // The item itself may still come from a watch or a peer that is behind.
        const auto removed = removedAt_.find(key);
        if (removed == removedAt_.end() || removed->second < version) {
            ++changeCount_;
            recordRemoval(key, version);
        }
        return;
    }
    if (known->second.item_.version_ > version) {
        return;
    }
    items_.erase(known);
    ++changeCount_;
    recordRemoval(key, version);
    removeDecoded(key, version, now);
}

void StoreView::recordRemoval(const std::string &key, StoreVersion version)
{
    removals_.emplace_back(version, key);
    removedAt_[key] = version;
    if (removals_.size() <= MaxRemovals) {
        return;
    }
    const auto &[oldestVersion, oldestKey] = removals_.front();
    removalHistoryStart_ = std::max(removalHistoryStart_, oldestVersion);
    if (const auto oldest = removedAt_.find(oldestKey); oldest != removedAt_.end() && oldest->second == oldestVersion) {
        removedAt_.erase(oldest);
    }
    removals_.pop_front();
}

void StoreView::decode(const StoreItem &item, TimePoint now)
{
    if (const auto id = withoutPrefix(item.key_, Platform::ServerPrefix)) {
        decodeServer(*id, item, now);
    } else if (item.key_ == Platform::ConfigurationKey) {
        decodeConfiguration(item);
    } else if (const auto domain = withoutPrefix(item.key_, Platform::EvacuationPrefix)) {
        evacuatedDomains_.insert(*domain);
        expired_.erase(item.key_);
    } else if (const auto name = withoutPrefix(item.key_, MemberPrefix)) {
        decodeMember(*name, item, now);
    } else if (const auto service = withoutPrefix(item.key_, CoordinatorPrefix)) {
        if (const auto coordinator = decodeCoordinator(item.value_, item.version_)) {
            putCoordinator(*service, *coordinator);
        } else {
            handler_(item.key_, "cannot decode the coordinator's entry");
        }
    } else if (const auto sharded = withoutPrefix(item.key_, AssignmentPrefix)) {
        if (auto assignment = decodeAssignment(item.value_)) {
            putAssignment(*sharded, std::move(*assignment), item.version_, now);
        } else {
            handler_(item.key_, "invalid shard assignment");
        }
    }
}

void StoreView::decodeMember(const std::string &name, const StoreItem &item, TimePoint now)
{
    const auto member = parseMember(item.value_);
    if (!member) {
        handler_(item.key_, "cannot decode the member's entry");
        return;
    }
    members_[name] = *member;
    const bool isOfThisEra = member->era_ == item.version_.era_;
    auto &known = eraMembers_[name];
    known.leftAt_.reset();
    if (isOfThisEra && !known.seenAt_) {
        known.seenAt_ = now;
    }
    // Nothing removes an entry whose lease the store has lost.
    if (isOfThisEra || item.version_ > eraReadAt_) {
        expired_.erase(item.key_);
    } else {
        expired_[item.key_] = eraGraceUntil();
    }
}

void StoreView::decodeServer(const std::string &id, const StoreItem &item, TimePoint now)
{
    auto decoded = Platform::decodeServer(id, item.value_);
    expired_.erase(item.key_);
    if (decoded.value_ && decoded.value_->startTime_ == 0 && idsWithStartTime_.contains(id)) {
        decoded = {std::nullopt, {"the start of the server's run is missing, unlike before"}};
    }
    if (!decoded.value_) {
        handler_(item.key_, decoded.problem_.reason_);
        if (const auto known = servers_.find(id); known != servers_.end()) {
            beforeUnusable_[id] = known->second.description_;
            servers_.erase(known);
        }
        return;
    }
    if (isReplacedRun(*decoded.value_, item.version_)) {
        handler_(item.key_, "a later run of the server has replaced the one of the entry");
        keepYoungerRun(*decoded.value_, item.version_, now);
        notices_->recordForgotten(decoded.value_->incarnation());
        return;
    }
    if (isOutdated(*decoded.value_, item.version_)) {
        handler_(item.key_, "description is older than the one that says the server is leaving");
        notices_->recordForgotten(decoded.value_->incarnation());
        return;
    }
    if (isOlderDescription(*decoded.value_, item.version_)) {
        return;
    }
    if (decoded.value_->startTime_ != 0) {
        idsWithStartTime_.insert(id);
    }
    updateNotices(*decoded.value_, item.version_, now);
    beforeUnusable_.erase(id);
    servers_[id] = {std::move(*decoded.value_), now, item.version_};
}

const ServerDescription *StoreView::lastDescription(const std::string &id) const
{
    const auto earlier = beforeUnusable_.find(id);
    return earlier == beforeUnusable_.end() ? server(id) : &earlier->second;
}

bool StoreView::isOutdated(const ServerDescription &description, StoreVersion version) const
{
    const auto *signs = notices_->signs(description.incarnation());
    const bool isLeaving = signs != nullptr && signs->store_;
    if (isLeaving && signs->store_->version_.era_ < version.era_ && description.state_ != ServerState::Draining
        && !isWrittenSince(*signs->store_, description, version)) {
        return true;
    }
    // A server's write whose response was lost may be applied after a later one, also after its entry was removed. A server that does not
    // state the start of its run may then be the next one, whose sequence starts anew.
    const auto known = servers_.find(description.id_);
    const bool isKnownDraining = known != servers_.end() && known->second.description_.state_ == ServerState::Draining;
    if (description.startTime_ == 0 && !isKnownDraining) {
        return false;
    }
    return isLeaving && description.sequence_ != 0 && description.sequence_ < signs->store_->sequence_;
}

void StoreView::updateNotices(const ServerDescription &description, StoreVersion version, TimePoint now)
{
    const auto *known = lastDescription(description.id_);
    if (known != nullptr && known->startTime_ < description.startTime_) {
        recordLeaving(*known, LeavingReason::Restarted, version, now, now);
    }
    if (description.state_ == ServerState::Draining) {
        recordLeaving(description, LeavingReason::Draining, version, now, now);
    } else {
        notices_->withdrawStoreSign(description.incarnation(), now);
    }
}

void StoreView::recordLeaving(const ServerDescription &server, LeavingReason reason, StoreVersion version, TimePoint bindsFrom, TimePoint now)
{
    notices_->recordLeaving(server.incarnation(), {reason, source_, now, bindsFrom, version, server.sequence_}, now);
}

void StoreView::decodeConfiguration(const StoreItem &item)
{
    auto decoded = Platform::decodeConfiguration(item.value_);
    const auto version = decoded.value_ ? decoded.value_->version_ : Platform::readConfigurationVersion(item.value_).value_or(0);
    newestConfigurationVersion_ = std::max(newestConfigurationVersion_, version);
    if (!decoded.value_) {
        handler_(item.key_, decoded.problem_.reason_);
        return;
    }
    if (configuration_ && decoded.value_->version_ < configuration_->version_) {
        handler_(item.key_, "version is lower than that of the configuration in force");
        return;
    }
    configuration_ = std::make_shared<const RoutingConfiguration>(std::move(*decoded.value_));
}

bool StoreView::takeConfiguration(const StoreItem &item)
{
    const auto before = configuration_;
    decodeConfiguration(item);
    changeCount_ += configuration_ == before ? 0 : 1;
    return configuration_ != before;
}

StoreVersion StoreView::configurationStoreVersion() const
{
    const auto known = items_.find(Platform::ConfigurationKey);
    return known == items_.end() ? StoreVersion() : known->second.item_.version_;
}

void StoreView::expectConfiguration(StoreVersion version, TimePoint now)
{
    const bool wasLate = configurationLag(now) > Duration::zero();
    if (!version.exists() || version <= std::max(configurationStoreVersion(), at_)) {
        return;
    }
    // Counted from the first one, also when others follow before it has come.
    if (!wasLate) {
        configurationLateSince_ = now;
    }
    expectedConfiguration_ = std::max(expectedConfiguration_, version);
}

Duration StoreView::configurationLag(TimePoint now) const
{
    return expectedConfiguration_ > std::max(configurationStoreVersion(), at_) ? now - configurationLateSince_ : Duration::zero();
}

void StoreView::removeDecoded(const std::string &key, StoreVersion version, TimePoint now)
{
    if (const auto id = withoutPrefix(key, Platform::ServerPrefix)) {
        removeServer(*id, version, now);
    } else if (const auto domain = withoutPrefix(key, Platform::EvacuationPrefix)) {
        evacuatedDomains_.erase(*domain);
    } else if (const auto name = withoutPrefix(key, MemberPrefix)) {
        removeMember(*name, now);
        expired_.erase(key);
    } else if (const auto service = withoutPrefix(key, CoordinatorPrefix)) {
        removeCoordinator(*service, version);
    } else if (const auto sharded = withoutPrefix(key, AssignmentPrefix)) {
        assignments_.erase(*sharded);
    }
}

void StoreView::removeServer(const std::string &id, StoreVersion version, TimePoint now)
{
    idsWithStartTime_.erase(id);
    if (const auto *known = lastDescription(id)) {
        recordLeaving(*known, LeavingReason::Removed, version, std::max(now, expiryGraceUntil_), now);
    }
    beforeUnusable_.erase(id);
    if (now < expiryGraceUntil_) {
        expired_[Platform::ServerPrefix + id] = expiryGraceUntil_;
    } else {
        servers_.erase(id);
    }
}

void StoreView::setExpiryGrace(TimePoint until)
{
    expiryGraceUntil_ = std::max(expiryGraceUntil_, until);
}

bool StoreView::removeExpired(TimePoint now)
{
    if (now - eraSeenAt_ >= EarlierContentTime) {
        earlierItems_.clear();
    }
    bool isChanged = false;
    for (auto expired = expired_.begin(); expired != expired_.end();) {
        if (expired->second > now) {
            ++expired;
            continue;
        }
        removeKept(expired->first, now);
        ++changeCount_;
        expired = expired_.erase(expired);
        isChanged = true;
    }
    return isChanged;
}

void StoreView::removeKept(const std::string &key, TimePoint now)
{
    if (const auto id = withoutPrefix(key, Platform::ServerPrefix)) {
        servers_.erase(*id);
    } else if (const auto domain = withoutPrefix(key, Platform::EvacuationPrefix)) {
        evacuatedDomains_.erase(*domain);
    } else if (const auto name = withoutPrefix(key, MemberPrefix)) {
        removeMember(*name, now);
    }
}

std::size_t StoreView::contentBytes() const
{
    std::size_t bytes = 0;
    for (const auto *items : {&items_, &earlierItems_}) {
        for (const auto &[key, known] : *items) {
            bytes += key.size() + known.item_.value_.size();
        }
    }
    return bytes;
}

std::vector<PoolServerInput> StoreView::serversOf(const std::string &service) const
{
    std::vector<PoolServerInput> inputs;
    for (const auto &[id, server] : servers_) {
        if (server.description_.service_ == service) {
            inputs.push_back({server.description_, server.describedAt_, evacuatedDomains_.contains(server.description_.domain_)});
        }
    }
    return inputs;
}

const ServerDescription *StoreView::server(const std::string &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.description_;
}

std::vector<InstanceProfile> StoreView::instances() const
{
    std::vector<InstanceProfile> profiles;
    profiles.reserve(members_.size());
    for (const auto &[key, member] : members_) {
        const std::string &name = key;
        const auto coordinatedServices = std::ranges::count_if(coordinators_, [&name](const auto &entry) {
            return entry.second.member_.name_ == name;
        });
        profiles.push_back({name, member.domain_, member.cpuMillicores_, static_cast<std::uint32_t>(coordinatedServices)});
    }
    return profiles;
}

const CoordinatorEntry *StoreView::coordinator(const std::string &service) const
{
    const auto found = coordinators_.find(service);
    return found == coordinators_.end() ? nullptr : &found->second;
}

const AssignmentEntry *StoreView::assignment(const std::string &service) const
{
    const auto found = assignments_.find(service);
    return found == assignments_.end() ? nullptr : &found->second;
}

} // namespace Goldcrestwall::Gateway
