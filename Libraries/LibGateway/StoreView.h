// An instance's copy of the store's content.
#pragma once

#include <LibPlacement/LibPlacement.h>

#include <platform/Platform.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Goldcrestwall::Gateway {

// Entries that are missing after the store was away, or after it came back from an older copy, are written again within this time if their writers are there.
inline constexpr Duration ExpiryGrace = 2200ms;

// The store entry of one run of an instance.
struct MemberEntry
{
    std::string name_;
    // Distinguishes runs of the same instance.
    std::string incarnation_;
    std::string peerAddress_;
    std::string domain_;
    // Its share of a processor, in thousandths of a core.
    std::uint32_t cpuMillicores_ = 0;
    // The era in which the entry was written; 0 if it does not say.
    StoreEra era_ = 0;

    auto operator<=>(const MemberEntry &) const = default;
};

// An instance that was a member when the present era of the store began, or has been one since.
struct EraMember
{
    // When this instance first saw an entry that the other one had written in this era; nothing if it has not seen one.
    std::optional<TimePoint> seenAt_;
    // When its entry was removed; nothing while it has one.
    std::optional<TimePoint> leftAt_;

    auto operator<=>(const EraMember &) const = default;
};

// The store entry of the instance that coordinates a service.
struct CoordinatorEntry
{
    MemberEntry member_;
    // The lease that the entry ends with.
    StoreLeaseId lease_;
    // The coordinator grants no more keys and waits for a more suitable instance to take over.
    bool isYielding_ = false;
    // The entry replaced one that was yielding.
    bool hasPredecessorYielded_ = false;
    // The version of the store's item, as a condition for replacing it; does not exist if the store has none.
    StoreVersion version_;
    // When it was written, which identifies the claim.
    StoreVersion writtenAt_;

    auto operator<=>(const CoordinatorEntry &) const = default;

    // Whether the store has this entry, and it was written in the store's present era. Otherwise the service can be claimed, and nobody grants on the entry.
    bool isStored() const
    {
        return version_ == writtenAt_;
    }
};

// The store entry with the assignment of a sharded service.
struct AssignmentEntry
{
    ShardAssignment assignment_;
    // The version of the store's item, as a condition for replacing it; does not exist if the store has none.
    StoreVersion version_;
    // When this instance got it.
    TimePoint seenAt_;
    // Whether the store has this assignment. Otherwise it has an older one, or none.
    bool isStored_ = true;

    auto operator<=>(const AssignmentEntry &) const = default;
};

// An item whose value is left out, because the receiver has it in its view of the earlier era.
struct UnchangedItem
{
    std::string key_;
    StoreVersion version_;
    std::uint64_t valueHash_ = 0;

    auto operator<=>(const UnchangedItem &) const = default;
};

// Changes that bring another view up to date.
struct ViewUpdate
{
    StoreVersion at_;
    // Whether `items_` and `unchanged_` are the complete content, so that keys missing from it are removed.
    bool isSnapshot_ = false;
    std::vector<Platform::StoreItem> items_;
    std::vector<std::string> removedKeys_;
    // Only of a complete content.
    std::vector<UnchangedItem> unchanged_ = {};
};

// A key that was removed from the store.
struct ViewRemoval
{
    std::string key_;
    StoreVersion version_;

    auto operator<=>(const ViewRemoval &) const = default;
};

// Changes of a view that are told to others without being asked for.
struct ViewChange
{
    StoreVersion from_;
    StoreVersion to_;
    // Whether it brings every view at a version from `from_` on to `to_`. Otherwise it holds only a part of the changes.
    bool isComplete_ = false;
    std::vector<Platform::StoreItem> items_;
    std::vector<ViewRemoval> removals_;

    auto operator<=>(const ViewChange &) const = default;
};

// The complete read by which a view went over to a higher era of the store.
struct EraRead
{
    // The view's version before.
    StoreVersion before_;
    StoreVersion at_;
    std::size_t itemCount_ = 0;
    // Number of items that the view had and the read lacked.
    std::size_t missingCount_ = 0;
    // When the era was first heard of.
    TimePoint seenAt_;
    // Until then servers, evacuations and members that the read lacked stay, since their entries may be written again.
    TimePoint keptUntil_;
    NoticeSource source_ = NoticeSource::Read;

    auto operator<=>(const EraRead &) const = default;
};

// Whether a change of the item has to be in force at every instance within a bounded time: configuration, servers and evacuations.
bool bindsInTime(const std::string &key);

std::string memberKey(const std::string &instance);
std::string coordinatorKey(const std::string &service);
std::string assignmentKey(const std::string &service);
std::string encodeMember(const MemberEntry &member);
std::string encodeCoordinator(const CoordinatorEntry &coordinator);

// The store's items up to one version, and their decoded form. The version never decreases, whether changes come from the store or from
// other instances.
//
// When the store comes back from an older copy, in a higher era, a complete read replaces the items; changes of any other era than the view's are ignored.
// What the copy lacks stays for the grace period, so that it can be written again. What is final stays for good: a configuration does not go back, a run of a
// server that was leaving or was replaced is not in use again by the copy's entry.
class StoreView
{
public:
    // Called with the key and the reason when an item cannot be decoded or applied.
    using ProblemHandler = std::function<void(const std::string &, const std::string &)>;

    // The view records in `notices` which servers are leaving by the store's content.
    explicit StoreView(ProblemHandler handler, std::shared_ptr<ServerNotices> notices = std::make_shared<ServerNotices>())
        : handler_(std::move(handler))
        , notices_(std::move(notices))
    {
    }

    StoreVersion at() const
    {
        return at_;
    }
    // The version of a key that the store does not have, in the era of this view.
    StoreVersion missingVersion() const
    {
        return {at_.era_, 0};
    }

    // The last change of the era; nothing if the view has had only one.
    const std::optional<EraRead> &eraRead() const
    {
        return eraRead_;
    }

    // Number of items that this view got although its version was not below theirs: changes that its watch or its peers had missed.
    std::uint64_t lateItemCount() const
    {
        return lateItemCount_;
    }

    // Size of the keys and values.
    std::size_t contentBytes() const;

    // Differs whenever the content may have changed.
    std::uint64_t changeCount() const
    {
        return changeCount_;
    }

    void apply(const std::vector<Platform::StoreEvent> &events, StoreVersion at, TimePoint now);
    // Replaces the content by a complete read. `at` is the lowest version at which any part of it was read.
    void replace(const std::vector<Platform::StoreItem> &items, StoreVersion at, TimePoint now);
    void apply(const ViewUpdate &update, TimePoint now);
    // Applies a change completely if it joins on to this view. Otherwise applies those of its items that bind in time and are newer than
    // the view, whose version stays as it is. Returns whether anything was new. A view that has no content yet ignores the change.
    bool apply(const ViewChange &change, TimePoint now);
    // All changes since the version; incomplete and empty if only the complete content brings a view at the version up to date.
    ViewChange changeSince(StoreVersion version) const;
    ViewUpdate changesSince(StoreVersion version) const;
    // Adds the values that the update leaves out to its items. Returns false if this view does not have one of them; it then needs the complete content.
    bool completeUpdate(ViewUpdate &update) const;
    // Whether the complete content can leave out values that a view at the version has, since this view remembers that era's content.
    bool remembersEraOf(StoreVersion version) const
    {
        return version.era_ != 0 && version.era_ == earlierEra_ && !earlierItems_.empty();
    }
    // Whether only the complete content brings a view at the version up to date.
    bool needsSnapshot(StoreVersion version) const;
    // Size of the keys and values of these changes.
    std::size_t changeBytes(StoreVersion version) const;

    // Until then, servers whose entries are removed stay in the view: the entries may have expired during a store outage.
    void setExpiryGrace(TimePoint until);
    // Removes what was kept although its entry was missing, and was not written again in time; returns whether there was anything. Forgets an earlier era's
    // content that nobody needs any more.
    bool removeExpired(TimePoint now);

    // The store is known to be in the era, by its own responses or by a peer's messages.
    void recordEra(StoreEra era, TimePoint now);
    // Another instance knows of a notice from an earlier era that the store does not tell of any more. Ignored if the server has written its entry since.
    void recordForgottenLeaving(const ServerIncarnation &server, const LeavingNotice &notice, TimePoint now);
    // When this instance first heard of the era of this view; the epoch without content.
    TimePoint eraSeenAt() const
    {
        return eraSeenAt_;
    }
    // When this instance first heard of the highest era that it knows of, which the view may not have reached.
    TimePoint knownEraAt() const
    {
        return knownEraAt_;
    }
    // The instances that were members when the era of this view began, or have been since, by name; also those that left so shortly before that they may still
    // grant keys without a lease.
    const std::map<std::string, EraMember> &eraMembers() const
    {
        return eraMembers_;
    }
    // Whether this view had content for so long when its era began that none of those is missing.
    bool knowsAllEraMembers() const
    {
        return knowsAllEraMembers_;
    }

    // Null until a valid configuration has been read.
    std::shared_ptr<const RoutingConfiguration> configuration() const
    {
        return configuration_;
    }
    // The highest version that any configuration in the store has stated. Above that of `configuration()` if one could not be used.
    std::uint64_t newestConfigurationVersion() const
    {
        return newestConfigurationVersion_;
    }
    // The store's version at the last change of the configuration, usable or not; 0 if none is known.
    StoreVersion configurationStoreVersion() const;
    // Takes a configuration that was read from the store in another era than the view's: configurations are ordered by their own versions. Returns whether it
    // is new. The store's item stays as it is.
    bool takeConfiguration(const Platform::StoreItem &item);
    // A peer knows a configuration of that version.
    void expectConfiguration(StoreVersion version, TimePoint now);
    // The configuration has been read from the store, applied, and nothing newer is there: what was expected is in force or never was.
    void confirmConfiguration()
    {
        expectedConfiguration_ = {};
    }
    // For how long a newer configuration is known to exist that this view lacks; zero if none is.
    Duration configurationLag(TimePoint now) const;
    std::vector<PoolServerInput> serversOf(const std::string &service) const;
    const ServerDescription *server(const std::string &id) const;
    std::size_t serverCount() const
    {
        return servers_.size();
    }
    const std::map<std::string, MemberEntry> &members() const
    {
        return members_;
    }
    // All members, with the number of services that each coordinates.
    std::vector<InstanceProfile> instances() const;
    // The last coordinator that is known. Kept while the store's entry is missing or older since it came back from an older copy.
    const CoordinatorEntry *coordinator(const std::string &service) const;
    // The last assignment that is known; kept in the same way.
    const AssignmentEntry *assignment(const std::string &service) const;
    // Whether this view had content of an earlier era.
    bool hasKnownEarlierEra() const
    {
        return hasKnownEarlierEra_;
    }
    const std::set<std::string> &evacuatedDomains() const
    {
        return evacuatedDomains_;
    }

private:
    struct KnownItem
    {
        Platform::StoreItem item_;
        // Views at a lower version may lack the item. Higher than the item's own version if this view, too, got it late.
        StoreVersion relayVersion_;
    };

    struct KnownServer
    {
        ServerDescription description_;
        TimePoint describedAt_;
        // Of the entry with the description.
        StoreVersion version_;
    };

    // `at` is the version that the view has once all changes are applied.
    void put(const Platform::StoreItem &item, StoreVersion at, TimePoint now);
    void remove(const std::string &key, StoreVersion version, TimePoint now);
    void recordRemoval(const std::string &key, StoreVersion version);
    void applyPart(const ViewChange &change, TimePoint now);
    // Removes the items ahead of the view up to `at` that are not among these: all items that were changed since the view's version.
    void removeUnlistedAhead(const std::vector<Platform::StoreItem> &items, StoreVersion at, TimePoint now);
    // All changes up to the version have been applied.
    void advance(StoreVersion at);
    void decode(const Platform::StoreItem &item, TimePoint now);
    void removeDecoded(const std::string &key, StoreVersion version, TimePoint now);
    void replaceItems(const std::vector<Platform::StoreItem> &items, StoreVersion at, TimePoint now);
    // Whether the view has content of another era than this version, so that changes up to it do not join on.
    bool isOfOtherEra(StoreVersion version) const
    {
        return at_.exists() && version.era_ != at_.era_;
    }
    // Whether a view at a version of the earlier era has the item's value.
    bool isValueKnownAt(StoreVersion version, const Platform::StoreItem &item) const;
    // Prepares the view for the first complete content of an era: forgets all items, and keeps what the content lacks for the grace period.
    void beginEra(const std::vector<Platform::StoreItem> &items, StoreVersion at, TimePoint now);
    void beginEraMembers(TimePoint now);
    void recordEraRead(const std::set<std::string> &present, StoreVersion at);
    void keepForGrace(const std::set<std::string> &present, StoreVersion at, TimePoint now);
    void keepServersForGrace(const std::set<std::string> &present, StoreVersion at, TimePoint now);
    // Keeps the coordinators and assignments that the first complete content of an era lacks.
    void keepOwnEntries(const std::set<std::string> &present, StoreVersion at);
    void putCoordinator(const std::string &service, const CoordinatorEntry &coordinator);
    void putAssignment(const std::string &service, ShardAssignment assignment, StoreVersion version, TimePoint now);
    void removeCoordinator(const std::string &service, StoreVersion version);
    // Until when entries stay that are missing from the first complete content of the view's era, or were written in an earlier one.
    TimePoint eraGraceUntil() const
    {
        return eraSeenAt_ + ExpiryGrace;
    }
    // Whether the server has written the entry since the notice of an earlier era, so that the entry is not one that only the older copy has brought back.
    bool isWrittenSince(const LeavingNotice &notice, const ServerDescription &description, StoreVersion version) const;
    // Whether the same run of the server wrote the description in use later, in an earlier era. It writes its entry again soon.
    bool isOlderDescription(const ServerDescription &description, StoreVersion version) const;
    // Whether the entry is one of the older copy and describes a run of the server that a younger one has replaced.
    bool isReplacedRun(const ServerDescription &description, StoreVersion version) const;
    // Keeps the younger run that is known for the grace period.
    void keepYoungerRun(const ServerDescription &older, StoreVersion version, TimePoint now);
    void removeKept(const std::string &key, TimePoint now);
    void removeMember(const std::string &name, TimePoint now);
    // What the last usable entry of the server said, if its entry was not removed since; null if there is none.
    const ServerDescription *lastDescription(const std::string &id) const;
    void removeServer(const std::string &id, StoreVersion version, TimePoint now);
    // Whether a server wrote the description before the last one of a run that is known to be leaving.
    bool isOutdated(const ServerDescription &description, StoreVersion version) const;
    void updateNotices(const ServerDescription &description, StoreVersion version, TimePoint now);
    void recordLeaving(const ServerDescription &server, LeavingReason reason, StoreVersion version, TimePoint bindsFrom, TimePoint now);
    void decodeServer(const std::string &id, const Platform::StoreItem &item, TimePoint now);
    void decodeMember(const std::string &name, const Platform::StoreItem &item, TimePoint now);
    void decodeConfiguration(const Platform::StoreItem &item);

    ProblemHandler handler_;
    std::shared_ptr<ServerNotices> notices_;
    // Where the changes come from that are being applied.
    NoticeSource source_ = NoticeSource::Watch;
    StoreVersion at_;
    std::optional<EraRead> eraRead_;
    std::uint64_t changeCount_ = 0;
    std::uint64_t lateItemCount_ = 0;
    std::map<std::string, KnownItem> items_;
    // Keys of items with a version above the view's, which came by parts of changes or by pages of a read. A source of changes that never had such an item
    // does not tell of its removal.
    std::set<std::string> itemsAhead_;
    std::deque<std::pair<StoreVersion, std::string>> removals_;
    // The last removal of each key in `removals_`.
    std::map<std::string, StoreVersion> removedAt_;
    // `removals_` holds all removals after this version.
    StoreVersion removalHistoryStart_;
    TimePoint expiryGraceUntil_;
    // Keys of servers, evacuations and members that are in use although their entries are missing or of an earlier era, and until when.
    std::map<std::string, TimePoint> expired_;
    // The highest era that is known, and since when.
    StoreEra knownEra_ = 0;
    TimePoint knownEraAt_;
    // When the era of this view was first heard of.
    TimePoint eraSeenAt_;
    // The version of the first complete content of this view's era.
    StoreVersion eraReadAt_;
    // The content at the end of the era before, for a while, and that era.
    std::map<std::string, KnownItem> earlierItems_;
    StoreEra earlierEra_ = 0;
    std::map<std::string, EraMember> eraMembers_;
    // When the view got its first content.
    TimePoint contentSince_;
    bool knowsAllEraMembers_ = false;
    bool hasKnownEarlierEra_ = false;
    std::shared_ptr<const RoutingConfiguration> configuration_;
    std::uint64_t newestConfigurationVersion_ = 0;
    StoreVersion expectedConfiguration_;
    // Since when a configuration has been expected that the view lacks.
    TimePoint configurationLateSince_;
    std::map<std::string, KnownServer> servers_;
    // What the usable entry said before the present one, which is unusable.
    std::map<std::string, ServerDescription> beforeUnusable_;
    // Ids whose entry has stated the start of the server's run since it was registered. Later entries without it are by other writers.
    std::set<std::string> idsWithStartTime_;
    std::set<std::string> evacuatedDomains_;
    std::map<std::string, MemberEntry> members_;
    std::map<std::string, CoordinatorEntry> coordinators_;
    std::map<std::string, AssignmentEntry> assignments_;
};

} // namespace Goldcrestwall::Gateway
