// Models successive granters of one service in logical time, while failure domains are cut off, the store is away or refuses instances,
// leases are taken away, and instances are killed or frozen; and while the store comes back from older copies of its content.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr int DomainCount = 3;
constexpr int InstancesPerDomain = 2;
constexpr int InstanceCount = DomainCount * InstancesPerDomain;
constexpr std::size_t SampledKeys = 8;
constexpr Duration Step = 50ms;
constexpr Duration LeaseLifetime = 1500ms;
constexpr Duration RenewInterval = 500ms;
constexpr Duration ViewInterval = 150ms;
constexpr Duration PingInterval = 400ms;
constexpr Duration RankDelay = 250ms;
constexpr unsigned CopyPercent = 25;
constexpr unsigned LateWritePercent = 30;
constexpr TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr TimePoint FaultsBegin = Start + 6s;
constexpr TimePoint FaultsEnd = Start + 26s;
// Long enough for any successor's wait after the last fault, which may end 20 s after `FaultsEnd`.
constexpr TimePoint End = Start + 67s;

enum class Rule {
    Present,
    // A granter without a lease went on as long as it heard half of the other instances, or while it had not seen a successor's entry. A
    // successor counted the grants of its predecessor from its own start.
    Former,
    // What the store has after it has come back from an older copy was taken for the newest, as if it had only been away.
    WithoutEras,
    // As at present, but each granter of the earlier era that claims its service again goes on.
    AlwaysContinuing,
    // As at present, but an instance takes the assignment of the copy for the last one that was granted by.
    KnowingHolders,
};

// What happens beside the other faults.
enum class Faults {
    // The store loses nothing that it has acknowledged.
    NoCopies,
    // The store comes back from older copies of its content.
    Copies,
};

ShardKey sampledKey(std::size_t index)
{
    return static_cast<ShardKey>(index * (ShardKeyCount / SampledKeys));
}

std::string instanceName(int index)
{
    return "i" + std::to_string(index);
}

// The coordinator entry; the lease names the era in which it was written.
struct ModelEntry
{
    int owner_ = -1;
    StoreLeaseId lease_;
    std::uint64_t revision_ = 0;

    StoreVersion writtenAt() const
    {
        return {lease_.era_, revision_};
    }
};

// The store's items at one version.
struct ModelItems
{
    StoreVersion at_;
    ModelEntry entry_;
    std::optional<ShardAssignment> assignment_;
    std::uint64_t assignmentRevision_ = 0;
    // The leases of the instances that are registered.
    std::map<int, StoreLeaseId> members_;
};

// What an instance knows of the store's content: entries and assignments of earlier eras are kept while the store has none, or older ones.
struct ModelView
{
    ModelItems items_;
    ModelEntry entry_;
    std::optional<ShardAssignment> assignment_;
    TimePoint assignmentSeenAt_;

    // Whether the store has the entry, and it was written in the present era.
    bool isEntryStored() const
    {
        return entry_.owner_ >= 0 && entry_.writtenAt() == StoreVersion(items_.at_.era_, items_.entry_.revision_);
    }
};

struct ModelStore
{
    ModelItems items_;
    std::uint64_t nextLease_ = 1;
    std::map<std::uint64_t, TimePoint> leases_;
};

// The store goes away and comes back with older content.
struct ModelReturn
{
    TimePoint at_;
    ModelStore copy_;
};

// A write that the store executes late if its conditions hold then. The store compares revisions only.
struct LateWrite
{
    TimePoint at_;
    std::uint64_t entryRevision_ = 0;
    std::uint64_t assignmentRevision_ = 0;
    ShardAssignment assignment_;
};

struct ModelInstance
{
    int domain_ = 0;
    TimePoint absentUntil_;
    TimePoint refusedUntil_;
    bool isRestarting_ = false;
    StoreLeaseId lease_;
    StoreLeaseId entryLease_;
    StoreEra knownEra_ = 0;
    TimePoint renewedAt_;
    TimePoint entryRenewedAt_;
    TimePoint triedRenewalAt_;
    TimePoint viewedAt_;
    TimePoint readAt_;
    TimePoint pingedAt_;
    TimePoint withheldUntil_;
    TimePoint vacantSince_;
    ModelView view_;
    TimePoint contentSince_;
    bool knowsAllOthers_ = false;
    TimePoint eraSeenAt_;
    // When the other instances were first seen in the era of the view.
    std::map<std::string, std::optional<TimePoint>> othersSeenAt_;
    // The right to grant as of the last time at which its entry was known to be of the present era.
    TimePoint rightUntil_;
    TimePoint grantedUntil_;
    // Its entry is in the store, or has ended and was not replaced as far as it knows.
    bool isCoordinating_ = false;
    std::map<std::string, TimePoint> promises_;
    std::optional<ShardGranter> granter_;
    StoreVersion granterEntryVersion_;
    StoreVersion storedVersion_;
    bool isFirstOfEra_ = false;
    bool isWriteInDoubt_ = false;
    // The assignment whose write is in doubt.
    ShardAssignment written_;
};

struct ModelServer
{
    struct Hold
    {
        FencingToken highestToken_ = 0;
        // The highest one with which it held the key.
        FencingToken heldWith_ = 0;
        TimePoint until_;
    };
    std::array<Hold, SampledKeys> holds_;
};

struct ModelOutage
{
    TimePoint from_;
    TimePoint to_;
    // Whether leases run out meanwhile.
    bool isLapsing_ = false;
};

// One seeded order of events.
class SuccessionModel
{
public:
    SuccessionModel(unsigned seed, Rule rule, Faults faults = Faults::NoCopies)
        : random_(seed)
        , rule_(rule)
        , faults_(faults)
    {
        store_.items_.at_.revision_ = 1;
        for (int index = 0; index < InstanceCount; ++index) {
            instances_[index].domain_ = index / InstancesPerDomain;
            instances_[index].withheldUntil_ = Start + ClaimWithholdTime;
        }
        for (int domain = 0; domain < DomainCount; ++domain) {
            ServerLoadView server;
            server.id_ = "s" + std::to_string(domain);
            server.startTime_ = 100;
            server.slots_ = 2;
            serverViews_.push_back(server);
        }
    }

    // Returns what went wrong first; empty if nothing did.
    std::string run()
    {
        for (now_ = Start; now_ < End; now_ += Step) {
            if (hasRandomFaults_ && now_ >= FaultsBegin && now_ < FaultsEnd && chance(faults_ == Faults::Copies ? 2 : 4)) {
                injectFault();
            }
            runOutages();
            runReturns();
            runLateWrites();
            expireLeases();
            for (int index = 0; index < InstanceCount; ++index) {
                runInstance(index);
            }
            if (!violation_.empty()) {
                return violation_ + " at " + std::to_string((now_ - Start) / 1ms) + " ms";
            }
            for (std::size_t key = 0; key < SampledKeys; ++key) {
                if (holderCount(key) > 1) {
                    return "two holders of a key at " + std::to_string((now_ - Start) / 1ms) + " ms";
                }
                if (!hasRandomFaults_ && now_ >= FaultsBegin && holderCount(key) == 0) {
                    return "a key without a holder at " + std::to_string((now_ - Start) / 1ms) + " ms";
                }
            }
        }
        for (std::size_t key = 0; key < SampledKeys; ++key) {
            if (holderCount(key) == 0) {
                return "a key without a holder long after the last fault";
            }
        }
        return {};
    }

    // Does the same with no other faults than these outages of the store. Keys have to have a holder all the time.
    std::string run(std::vector<ModelOutage> outages)
    {
        hasRandomFaults_ = false;
        outages_ = std::move(outages);
        return run();
    }

private:
    bool chance(unsigned percent)
    {
        return random_() % 100 < percent;
    }

    Duration randomTime(int lowestMs, int highestMs)
    {
        return std::chrono::milliseconds(lowestMs + static_cast<int>(random_() % static_cast<unsigned>(highestMs - lowestMs)));
    }

    void injectFault()
    {
        const int domain = static_cast<int>(random_() % DomainCount);
        const int owner = store_.items_.entry_.owner_;
        auto &instance = chance(50) && owner >= 0 ? instances_[owner] : instances_[random_() % InstanceCount];
        if (faults_ == Faults::Copies && chance(CopyPercent)) {
            goBack();
        }
        switch (random_() % 7) {
        case 0:
            nothingLeavesUntil_[domain] = nothingEntersUntil_[domain] = now_ + randomTime(1000, 8000);
            break;
        case 1:
            nothingLeavesUntil_[domain] = now_ + randomTime(1000, 8000);
            break;
        case 2:
            nothingEntersUntil_[domain] = now_ + randomTime(1000, 8000);
            break;
        case 3:
            outages_.push_back({now_, now_ + randomTime(1000, 9000), chance(50)});
            if (chance(50)) {
                // Another one soon afterwards.
                const TimePoint from = outages_.back().to_ + randomTime(50, 1500);
                outages_.push_back({from, from + randomTime(1000, 9000), chance(70)});
            }
            break;
        case 4:
            instance.refusedUntil_ = now_ + randomTime(1000, 9000);
            if (chance(50) && instance.lease_.era_ == store_.items_.at_.era_) {
                endLease(instance.lease_.number_);
            }
            break;
        case 5:
            instance.absentUntil_ = now_ + randomTime(500, 4000);
            instance.isRestarting_ = true;
            break;
        default:
            instance.absentUntil_ = now_ + randomTime(500, 4000);
            break;
        }
    }

    void runOutages()
    {
        for (const auto &outage : outages_) {
            if (outage.from_ <= now_ && now_ < outage.to_) {
                downUntil_ = std::max(downUntil_, outage.to_);
                isLapsing_ = outage.isLapsing_;
            }
        }
    }

    // The store goes away soon and comes back from a copy; maybe another time from the same one, soon afterwards. The granter may be killed just then.
    void goBack()
    {
        TimePoint from = now_ + randomTime(0, 3000);
        const TimePoint copiedAt = from - randomTime(0, 15000);
        const auto after = copies_.upper_bound(copiedAt);
        if (after == copies_.begin()) {
            return;
        }
        const auto &copy = std::prev(after)->second;
        if (chance(70)) {
            // Keys move within the seconds that are lost.
            drainsUntil_[random_() % DomainCount] = now_ + randomTime(1000, 8000);
        }
        if (chance(50)) {
            granterKilledAt_ = from + randomTime(0, 300);
        }
        for (int times = chance(30) ? 2 : 1; times > 0; --times) {
            const TimePoint to = from + randomTime(200, 3000);
            outages_.push_back({from, to, false});
            returns_.push_back({to, copy});
            from = to + randomTime(100, 5000);
        }
    }

    void runReturns()
    {
        if (faults_ == Faults::NoCopies) {
            return;
        }
        copies_[now_] = store_;
        if (now_ >= granterKilledAt_ && store_.items_.entry_.owner_ >= 0) {
            auto &granter = instances_[store_.items_.entry_.owner_];
            granter.absentUntil_ = now_ + randomTime(100, 4000);
            granter.isRestarting_ = true;
            granterKilledAt_ = TimePoint::max();
        }
        const auto due = std::ranges::find_if(returns_, [this](const ModelReturn &each) {
            return each.at_ <= now_;
        });
        if (due == returns_.end()) {
            return;
        }
        const StoreEra era = store_.items_.at_.era_ + 1;
        store_ = due->copy_;
        store_.items_.at_.era_ = era;
        returns_.erase(due);
        const bool haveLeasesEnded = chance(50);
        const auto leases = store_.leases_;
        for (const auto &[lease, endsAt] : leases) {
            store_.leases_[lease] = now_ + LeaseLifetime;
            if (haveLeasesEnded) {
                endLease(lease);
            }
        }
    }

    void runLateWrites()
    {
        for (const auto &write : lateWrites_) {
            const bool isMet = store_.items_.entry_.revision_ == write.entryRevision_ && store_.items_.entry_.owner_ >= 0
                && store_.items_.assignmentRevision_ == write.assignmentRevision_;
            if (write.at_ <= now_ && now_ >= downUntil_ && isMet) {
                store_.items_.assignment_ = write.assignment_;
                store_.items_.assignmentRevision_ = ++store_.items_.at_.revision_;
            }
        }
        std::erase_if(lateWrites_, [this](const LateWrite &write) {
            return write.at_ <= now_ && now_ >= downUntil_;
        });
    }

    bool passes(int fromDomain, int toDomain) const
    {
        return fromDomain == toDomain || (now_ >= nothingLeavesUntil_[fromDomain] && now_ >= nothingEntersUntil_[toDomain]);
    }

    bool isPresent(const ModelInstance &instance) const
    {
        return now_ >= instance.absentUntil_;
    }

    bool reachesStore(const ModelInstance &instance) const
    {
        return now_ >= downUntil_ && now_ >= instance.refusedUntil_ && now_ >= nothingLeavesUntil_[instance.domain_];
    }

    bool hearsStore(const ModelInstance &instance) const
    {
        return reachesStore(instance) && now_ >= nothingEntersUntil_[instance.domain_];
    }

    bool isLeaseValid(const ModelInstance &instance) const
    {
        return instance.lease_.exists() && instance.lease_.era_ == instance.knownEra_ && now_ < instance.renewedAt_ + LeaseLifetime;
    }

    void endLease(std::uint64_t lease)
    {
        auto &items = store_.items_;
        store_.leases_.erase(lease);
        if (items.entry_.lease_.number_ == lease && items.entry_.owner_ >= 0) {
            items.entry_ = {-1, {}, ++items.at_.revision_};
        }
        for (auto member = items.members_.begin(); member != items.members_.end();) {
            const bool isEnded = member->second.number_ == lease;
            items.at_.revision_ += isEnded ? 1 : 0;
            member = isEnded ? items.members_.erase(member) : std::next(member);
        }
    }

    void learnEra(ModelInstance &instance, StoreEra era)
    {
        if (era > instance.knownEra_) {
            instance.knownEra_ = era;
            instance.lease_ = {};
        }
    }

    bool isEraOutdated(const ModelInstance &instance) const
    {
        return instance.knownEra_ > instance.view_.items_.at_.era_;
    }

    void expireLeases()
    {
        if (now_ < downUntil_ && !isLapsing_) {
            for (auto &[lease, endsAt] : store_.leases_) {
                endsAt += Step;
            }
        }
        const auto leases = store_.leases_;
        for (const auto &[lease, endsAt] : leases) {
            if (endsAt <= now_) {
                endLease(lease);
            }
        }
    }

    void runInstance(int index)
    {
        auto &instance = instances_[index];
        if (!isPresent(instance)) {
            return;
        }
        if (instance.isRestarting_) {
            const int domain = instance.domain_;
            instance = ModelInstance();
            instance.domain_ = domain;
            instance.withheldUntil_ = now_ + ClaimWithholdTime;
        }
        renewLease(index);
        updateView(index);
        const bool isVacant = !instance.view_.isEntryStored();
        instance.isCoordinating_ = isVacant ? instance.isCoordinating_ : instance.view_.entry_.owner_ == index;
        if (instance.isCoordinating_) {
            ping(index);
            // By the former rule a granter whose entry had ended stopped.
            if (!isVacant || rule_ == Rule::Present) {
                grant(index);
            }
        }
        if (isVacant) {
            elect(index);
        } else {
            instance.vacantSince_ = TimePoint();
        }
    }

    void renewLease(int index)
    {
        auto &instance = instances_[index];
        if (now_ - instance.triedRenewalAt_ < RenewInterval) {
            return;
        }
        instance.triedRenewalAt_ = now_;
        if (!reachesStore(instance)) {
            return;
        }
        // The store knows no eras: the number may be that of another instance's lease.
        const auto lease = store_.leases_.find(instance.lease_.number_);
        if (lease != store_.leases_.end()) {
            lease->second = now_ + LeaseLifetime;
        }
        if (!hearsStore(instance)) {
            return;
        }
        auto &items = store_.items_;
        learnEra(instance, items.at_.era_);
        if (!instance.lease_.exists() || !store_.leases_.contains(instance.lease_.number_)) {
            instance.lease_ = {items.at_.era_, store_.nextLease_++};
            store_.leases_[instance.lease_.number_] = now_ + LeaseLifetime;
            items.members_[index] = instance.lease_;
            ++items.at_.revision_;
        }
        instance.renewedAt_ = now_;
    }

    void updateView(int index)
    {
        auto &instance = instances_[index];
        if (now_ - instance.viewedAt_ < ViewInterval) {
            return;
        }
        instance.viewedAt_ = now_;
        ModelItems newest = instance.view_.items_;
        if (hearsStore(instance)) {
            instance.readAt_ = now_;
            newest = store_.items_;
        }
        for (const auto &peer : instances_) {
            const bool isConnected = isPresent(peer) && passes(peer.domain_, instance.domain_) && passes(instance.domain_, peer.domain_);
            if (isConnected && peer.view_.items_.at_ > newest.at_) {
                newest = peer.view_.items_;
            }
        }
        if (newest.at_ > instance.view_.items_.at_) {
            applyItems(index, newest);
        }
    }

    void applyItems(int index, const ModelItems &items)
    {
        auto &instance = instances_[index];
        auto &view = instance.view_;
        const bool isNewEra = items.at_.era_ > view.items_.at_.era_;
        if (isNewEra || !view.items_.at_.exists()) {
            instance.contentSince_ = view.items_.at_.exists() ? instance.contentSince_ : now_;
            instance.knowsAllOthers_ = now_ - instance.contentSince_ >= GrantingTimePerConfirmation + MaxGrantingWithoutLease;
            instance.eraSeenAt_ = now_;
            for (auto &[name, seenAt] : instance.othersSeenAt_) {
                seenAt.reset();
            }
        }
        for (const auto &[other, lease] : items.members_) {
            auto &seenAt = instance.othersSeenAt_[instanceName(other)];
            const bool isSeen = lease.era_ == items.at_.era_ && !seenAt;
            seenAt = isSeen ? std::make_optional(now_) : seenAt;
        }
        instance.othersSeenAt_.erase(instanceName(index));
        learnEra(instance, items.at_.era_);
        applyEntry(view, items);
        const bool isNewAssignment = isNewEra || items.assignmentRevision_ != view.items_.assignmentRevision_;
        const bool isOlder = view.assignment_ && (!items.assignment_ || items.assignment_->nextToken_ < view.assignment_->nextToken_);
        if (rule_ == Rule::WithoutEras || !isOlder) {
            view.assignment_ = items.assignment_;
        }
        view.assignmentSeenAt_ = isNewAssignment ? now_ : view.assignmentSeenAt_;
        view.items_ = items;
    }

    void applyEntry(ModelView &view, const ModelItems &items) const
    {
        const bool isOfThisEra = items.entry_.owner_ < 0 ? view.entry_.lease_.era_ == items.at_.era_ : items.entry_.lease_.era_ == items.at_.era_;
        const bool isNewer = items.entry_.owner_ >= 0 && items.entry_.writtenAt() > view.entry_.writtenAt();
        if (rule_ == Rule::WithoutEras || isOfThisEra || isNewer) {
            view.entry_ = items.entry_;
        }
    }

    void ping(int index)
    {
        auto &instance = instances_[index];
        if (now_ - instance.pingedAt_ < PingInterval) {
            return;
        }
        instance.pingedAt_ = now_;
        for (int other = 0; other < InstanceCount; ++other) {
            auto &peer = instances_[other];
            const bool isReached = other != index && isPresent(peer) && !peer.isRestarting_ && passes(instance.domain_, peer.domain_);
            if (!isReached) {
                continue;
            }
            const bool isWithholding = !isLeaseValid(peer);
            if (isWithholding) {
                peer.withheldUntil_ = now_ + ClaimWithholdTime;
            }
            if (!passes(peer.domain_, instance.domain_)) {
                continue;
            }
            heardAt_[{index, other}] = now_;
            learnEra(instance, peer.view_.items_.at_.era_);
            if (isWithholding && !isEraOutdated(peer) && peer.view_.items_.at_ <= instance.view_.items_.at_) {
                instance.promises_[instanceName(other)] = now_ + ClaimWithholdTime;
            }
        }
    }

    std::vector<InstanceProfile> profiles() const
    {
        std::vector<InstanceProfile> profiles;
        for (int index = 0; index < InstanceCount; ++index) {
            profiles.push_back({instanceName(index), "d" + std::to_string(instances_[index].domain_), 200, 0});
        }
        return profiles;
    }

    void elect(int index)
    {
        auto &instance = instances_[index];
        if (instance.vacantSince_ == TimePoint()) {
            instance.vacantSince_ = now_;
        }
        const auto standbys = instance.view_.assignment_ ? instance.view_.assignment_->granter_.standbys_ : std::vector<std::string>();
        const auto rank = instance.isCoordinating_ ? 0 : 1 + claimRank("service", instanceName(index), standbys, profiles());
        const bool isDue = now_ - instance.vacantSince_ >= RankDelay * static_cast<int>(rank);
        auto &items = store_.items_;
        const auto &known = instance.view_.items_;
        const bool isOfEra = known.at_.era_ == items.at_.era_ && !isEraOutdated(instance);
        const bool isMet = items.entry_.owner_ < 0 ? known.entry_.owner_ < 0 : known.entry_.revision_ == items.entry_.revision_;
        const bool isApplied = isDue && isLeaseValid(instance) && reachesStore(instance) && isOfEra && isMet;
        if (isApplied && store_.leases_.contains(instance.lease_.number_)) {
            items.entry_ = {index, instance.lease_, ++items.at_.revision_};
        }
    }

    EarlierEras earlierEras(const ModelInstance &instance) const
    {
        EarlierEras earlier;
        earlier.eraSeenAt_ = instance.eraSeenAt_;
        earlier.knowsAllOthers_ = instance.knowsAllOthers_;
        for (const auto &[name, seenAt] : instance.othersSeenAt_) {
            earlier.othersSeenAt_.push_back(seenAt);
        }
        return earlier;
    }

    TimePoint grantsUntil(int index)
    {
        auto &instance = instances_[index];
        if (rule_ == Rule::Former) {
            const auto heard = std::ranges::count_if(heardAt_, [&](const auto &heard) {
                return heard.first.first == index && now_ - heard.second < 1s;
            });
            const bool isConfirmed = heard * 2 >= InstanceCount - 1;
            return isLeaseValid(instance) || isConfirmed ? now_ + Step : TimePoint();
        }
        const bool isStored = instance.view_.isEntryStored();
        if (isStored && instance.entryLease_ != instance.view_.entry_.lease_) {
            instance.entryLease_ = instance.view_.entry_.lease_;
            instance.entryRenewedAt_ = TimePoint();
        }
        // An entry of an earlier era confirms nothing any more.
        const bool isOfEarlierEra = instance.entryLease_.era_ < instance.view_.items_.at_.era_ || isEraOutdated(instance);
        if (rule_ != Rule::WithoutEras && isOfEarlierEra) {
            return instance.rightUntil_;
        }
        const auto &known = instance.view_.assignment_;
        if (!isStored && !isLastGranter(instanceName(index), known ? &*known : nullptr)) {
            instance.rightUntil_ = TimePoint();
            return instance.rightUntil_;
        }
        if (instance.lease_ == instance.entryLease_) {
            instance.entryRenewedAt_ = instance.renewedAt_;
        }
        std::vector<TimePoint> promises;
        for (const auto &standby : instance.granter_ ? instance.granter_->assignment().granter_.standbys_ : std::vector<std::string>()) {
            promises.push_back(instance.promises_[standby]);
        }
        instance.rightUntil_ = grantsAllowedUntil(std::max(instance.entryRenewedAt_, instance.readAt_), promises);
        return instance.rightUntil_;
    }

    void startGranter(int index, const std::optional<ShardAssignment> &stored, TimePoint seenAt)
    {
        auto &instance = instances_[index];
        TimePoint stopAt = now_;
        if (stored && rule_ != Rule::Former) {
            stopAt = earlierGrantersStopAt(stored->granter_, {instanceName(index), instance.withheldUntil_, false, seenAt}, now_);
        }
        if (instance.granter_) {
            stopAt = std::max(stopAt, instance.granter_->earlierGrantersStopAt());
        }
        instance.isFirstOfEra_ = false;
        instance.granter_.emplace(GrantTimings(), stored, now_, stopAt);
        const auto within = stored ? stored->granter_.holdersUnknownWithin_ : Duration::zero();
        if (within > Duration::zero()) {
            instance.granter_->forgetHolders(seenAt + within - GrantTimings().longestLifetime());
        }
    }

    // Adopts the stored assignment after a claim. Returns whether this instance may plan.
    bool adopt(int index)
    {
        auto &instance = instances_[index];
        const auto &view = instance.view_;
        const auto claim = view.entry_.writtenAt();
        if (instance.granter_ && instance.granterEntryVersion_ == claim) {
            return true;
        }
        const StoreVersion version(view.items_.at_.era_, view.items_.assignmentRevision_);
        Adopter adopter;
        adopter.era_ = rule_ == Rule::WithoutEras ? 0 : claim.era_;
        adopter.assignmentEra_ = view.assignment_ ? std::make_optional(view.assignment_->era_) : std::nullopt;
        adopter.isOwnAssignment_ = isLastGranter(instanceName(index), view.assignment_ ? &*view.assignment_ : nullptr) && version == instance.storedVersion_;
        adopter.hasGranter_ = instance.granter_.has_value();
        adopter.grantedUntil_ = rule_ == Rule::AlwaysContinuing ? now_ + std::chrono::hours(1) : instance.grantedUntil_;
        const auto adoption = adoptionOf(adopter, GrantTimings().longestLifetime(), earlierEras(instance), now_);
        if (adoption == Adoption::Undecided) {
            return false;
        }
        instance.granterEntryVersion_ = claim;
        if (adoption == Adoption::Keep) {
            return true;
        }
        instance.storedVersion_ = version;
        if (adoption == Adoption::TakeOver) {
            startGranter(index, view.assignment_, view.assignmentSeenAt_);
            if (!view.assignment_ && rule_ != Rule::WithoutEras) {
                instance.granter_->beginEra(claim.era_, now_);
            }
            return true;
        }
        beginEra(index, claim.era_, adoption);
        return true;
    }

    void beginEra(int index, StoreEra era, Adoption adoption)
    {
        auto &instance = instances_[index];
        instance.isFirstOfEra_ = true;
        if (adoption == Adoption::Restart) {
            instance.granter_.emplace(GrantTimings(), instance.view_.assignment_, now_);
            instance.grantedUntil_ = TimePoint();
        }
        instance.granter_->beginEra(era, now_);
        const TimePoint stopAt = earlierErasStopAt(earlierEras(instance));
        if (adoption == Adoption::Restart && rule_ != Rule::KnowingHolders) {
            instance.granter_->forgetHolders(stopAt);
        } else {
            instance.granter_->setEarlierErasStopAt(stopAt);
        }
    }

    // Takes the result of a write in doubt from the store. Only if another assignment of this era is stored may another instance have granted.
    void adoptAfterDoubt(int index)
    {
        auto &instance = instances_[index];
        const auto &items = store_.items_;
        learnEra(instance, items.at_.era_);
        instance.isWriteInDoubt_ = false;
        const StoreVersion version(items.at_.era_, items.assignmentRevision_);
        const bool isOtherEra = version.era_ != instance.storedVersion_.era_ && rule_ != Rule::WithoutEras;
        if (instance.storedVersion_ == version || isOtherEra) {
            return;
        }
        instance.storedVersion_ = version;
        if (items.assignment_ == instance.written_) {
            instance.granter_->recordStored(instance.written_, now_);
        } else if (rule_ == Rule::WithoutEras || (items.assignment_ && items.assignment_->era_ == items.at_.era_)) {
            startGranter(index, items.assignment_, now_);
        }
    }

    // Limits the right to grant by that of the earlier era until an assignment of this one is stored.
    TimePoint boundedRight(ModelInstance &instance, TimePoint right) const
    {
        const bool isOfEra = instance.granter_ && instance.granter_->assignment().era_ == instance.view_.items_.at_.era_;
        const TimePoint until = isOfEra || rule_ == Rule::WithoutEras || rule_ == Rule::Former ? right : std::min(right, instance.grantedUntil_);
        instance.grantedUntil_ = until > now_ ? until : std::max(until, std::min(instance.grantedUntil_, now_));
        return until;
    }

    void grant(int index)
    {
        auto &instance = instances_[index];
        const TimePoint right = grantsUntil(index);
        if (instance.isWriteInDoubt_ && now_ < right && hearsStore(instance)) {
            adoptAfterDoubt(index);
        }
        const bool isOwn = instance.view_.isEntryStored() && instance.view_.entry_.owner_ == index;
        const bool mayPlan = isOwn && now_ < right && !instance.isWriteInDoubt_ && adopt(index);
        boundedRight(instance, right);
        if (now_ >= right || !instance.granter_) {
            return;
        }
        const auto &known = instance.view_.assignment_;
        const bool isLast = isLastGranter(instanceName(index), known ? &*known : nullptr);
        if (!mayPlan && !isLast) {
            return;
        }
        if (mayPlan && instance.isFirstOfEra_) {
            instance.granter_->setEarlierErasStopAt(earlierErasStopAt(earlierEras(instance)));
        }
        if (mayPlan && isLeaseValid(instance) && !isEraOutdated(instance)) {
            writeAssignment(index);
        }
        if (now_ < boundedRight(instance, right)) {
            sendCalls(index);
        }
    }

    void sendCalls(int index)
    {
        auto &instance = instances_[index];
        for (const auto &call : instance.granter_->takeReleases(now_)) {
            const int server = std::stoi(call.holder_.server_.substr(1));
            const bool isReached = faults_ == Faults::Copies && passes(instance.domain_, server);
            if (isReached) {
                applyRelease(servers_[server], call);
            }
            const bool isAnswered = isReached && passes(server, instance.domain_);
            instance.granter_->recordReleaseResult(call, isAnswered ? ShardCallOutcome::Accepted : ShardCallOutcome::NotSent, "", now_);
        }
        for (const auto &call : instance.granter_->takeGrants(now_)) {
            const int server = std::stoi(call.holder_.server_.substr(1));
            if (!passes(instance.domain_, server)) {
                instance.granter_->recordGrantResult(call, now_, ShardCallOutcome::NotSent, now_);
                continue;
            }
            const bool isAccepted = applyGrant(server, call);
            const bool isAnswered = passes(server, instance.domain_);
            const auto outcome = isAccepted ? ShardCallOutcome::Accepted : ShardCallOutcome::Refused;
            instance.granter_->recordGrantResult(call, now_, isAnswered ? outcome : ShardCallOutcome::Unanswered, now_);
        }
    }

    void writeAssignment(int index)
    {
        auto &instance = instances_[index];
        // Keys of servers out of the granter's reach move to others.
        for (int server = 0; server < DomainCount; ++server) {
            const bool isReached = passes(instance.domain_, server) && passes(server, instance.domain_);
            serverViews_[server].isEligible_ = isReached && now_ >= drainsUntil_[server];
        }
        const auto present = instance.granter_->assignment().granter_.standbys_;
        instance.granter_->setGranter(instanceName(index), chooseStandbys("service", instanceName(index), present, profiles()));
        const auto next = instance.granter_->plan(serverViews_, load_, now_);
        if (!next) {
            return;
        }
        auto &items = store_.items_;
        const bool isDown = now_ < downUntil_;
        if (isDown && chance(LateWritePercent)) {
            lateWrites_.push_back({now_ + randomTime(0, 3000), instance.granterEntryVersion_.revision_, instance.storedVersion_.revision_, *next});
        }
        if (!reachesStore(instance)) {
            if (isDown && faults_ == Faults::Copies) {
                instance.isWriteInDoubt_ = true;
                instance.written_ = *next;
            }
            return;
        }
        const bool isOfEra = instance.granterEntryVersion_.era_ == items.at_.era_ && instance.storedVersion_.era_ == items.at_.era_;
        const bool isCurrent = items.entry_.owner_ == index && items.entry_.revision_ == instance.granterEntryVersion_.revision_ && isOfEra;
        if (isCurrent && items.assignmentRevision_ == instance.storedVersion_.revision_) {
            items.assignment_ = *next;
            items.assignmentRevision_ = ++items.at_.revision_;
        }
        if (!hearsStore(instance) || !isCurrent || items.assignment_ != next) {
            instance.isWriteInDoubt_ = true;
            instance.written_ = *next;
            return;
        }
        instance.storedVersion_ = {items.at_.era_, items.assignmentRevision_};
        instance.granter_->recordStored(*next, now_);
    }

    bool applyGrant(int index, const GrantCall &call)
    {
        auto &server = servers_[index];
        const auto isGranted = [&](std::size_t key) {
            return call.first_ <= sampledKey(key) && sampledKey(key) <= call.last_;
        };
        for (std::size_t key = 0; key < SampledKeys; ++key) {
            if (isGranted(key) && server.holds_[key].highestToken_ > call.holder_.token_) {
                return false;
            }
        }
        for (std::size_t key = 0; key < SampledKeys; ++key) {
            if (isGranted(key)) {
                checkToken(index, key, call.holder_.token_);
                // The server's clock is 2% slow.
                server.holds_[key] = {call.holder_.token_, call.holder_.token_, now_ + call.holdTime_ + call.holdTime_ / 50};
            }
        }
        return true;
    }

    void applyRelease(ModelServer &server, const ReleaseCall &call) const
    {
        for (std::size_t key = 0; key < SampledKeys; ++key) {
            auto &hold = server.holds_[key];
            if (call.first_ <= sampledKey(key) && sampledKey(key) <= call.last_) {
                hold.highestToken_ = std::max(hold.highestToken_, call.token_);
                hold.until_ = hold.heldWith_ < call.token_ ? TimePoint() : hold.until_;
            }
        }
    }

    // A server that takes a key with a new token must get one above all with which other servers have had the key.
    void checkToken(int index, std::size_t key, FencingToken token)
    {
        if (servers_[index].holds_[key].heldWith_ == token) {
            return;
        }
        for (int other = 0; other < DomainCount; ++other) {
            if (other != index && servers_[other].holds_[key].heldWith_ >= token) {
                violation_ = "a key was taken with a token that is not above all others";
            }
        }
    }

    std::ptrdiff_t holderCount(std::size_t key) const
    {
        return std::ranges::count_if(servers_, [&](const ModelServer &server) {
            return now_ < server.holds_[key].until_;
        });
    }

    std::mt19937 random_;
    Rule rule_;
    Faults faults_;
    TimePoint now_;
    ModelStore store_;
    TimePoint downUntil_;
    // Whether leases run out while the store is down.
    bool isLapsing_ = false;
    std::map<TimePoint, ModelStore> copies_;
    std::vector<ModelReturn> returns_;
    std::vector<LateWrite> lateWrites_;
    TimePoint granterKilledAt_ = TimePoint::max();
    std::string violation_;
    std::array<ModelInstance, InstanceCount> instances_;
    std::array<ModelServer, DomainCount> servers_;
    std::array<TimePoint, DomainCount> nothingLeavesUntil_{};
    std::array<TimePoint, DomainCount> nothingEntersUntil_{};
    std::array<TimePoint, DomainCount> drainsUntil_{};
    std::map<std::pair<int, int>, TimePoint> heardAt_;
    std::vector<ServerLoadView> serverViews_;
    std::vector<ModelOutage> outages_;
    bool hasRandomFaults_ = true;
    KeyLoad load_;
};

} // namespace

class TestSuccession : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSuccession);
    CPPUNIT_TEST(granterStopsWhenCutOffFromItsStandbys);
    CPPUNIT_TEST(granterServesThroughAStoreOutage);
    CPPUNIT_TEST(granterWithoutEntryGoesOnByItsOwnAssignmentOnly);
    CPPUNIT_TEST(successorsWaitForAllEarlierGranters);
    CPPUNIT_TEST(standbysAreInOtherDomainsAndStay);
    CPPUNIT_TEST(successiveGrantersNeverHaveTwoHolders);
    CPPUNIT_TEST(keysHaveHoldersThroughTwoOutagesInARow);
    CPPUNIT_TEST(modelShowsTheFaultOfTheFormerRule);
    CPPUNIT_TEST(noTwoHoldersAfterTheStoreCameBackOlder);
    CPPUNIT_TEST(modelShowsTheFaultsOfIgnoredEras);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a granter that goes on in a failure domain that is cut off, because it hears most of the instances there.
    void granterStopsWhenCutOffFromItsStandbys()
    {
        const TimePoint renewedAt = Start;
        CPPUNIT_ASSERT(grantsAllowedUntil(renewedAt, {TimePoint(), Start + 30s}) == renewedAt + GrantingTimePerConfirmation);
        CPPUNIT_ASSERT(grantsAllowedUntil(renewedAt, {Start + 900ms, Start + 30s}) == renewedAt + GrantingTimePerConfirmation);
    }

    void granterServesThroughAStoreOutage()
    {
        CPPUNIT_ASSERT(grantsAllowedUntil(Start, {Start + 5s, Start + 6s}) == Start + 5s);
        const auto longest = Start + GrantingTimePerConfirmation + MaxGrantingWithoutLease;
        CPPUNIT_ASSERT(grantsAllowedUntil(Start, {Start + 30s, Start + 30s}) == longest);
        CPPUNIT_ASSERT(grantsAllowedUntil(Start, {}) == longest);
    }

    // Guards against a granter that does not notice that its entry was replaced, because the replacement has ended too.
    void granterWithoutEntryGoesOnByItsOwnAssignmentOnly()
    {
        ShardAssignment stored;
        CPPUNIT_ASSERT(!isLastGranter("a", nullptr));
        CPPUNIT_ASSERT(!isLastGranter("a", &stored));
        stored.granter_ = {"b", {"a", "c"}, Duration::zero()};
        CPPUNIT_ASSERT(!isLastGranter("a", &stored));
        CPPUNIT_ASSERT(isLastGranter("b", &stored));
    }

    // Guards against a successor that gives keys away while an earlier granter may still renew them.
    void successorsWaitForAllEarlierGranters()
    {
        const TimePoint now = Start + 20s;
        const GranterRecord predecessor{"a", {"b", "c"}, Duration::zero()};
        const auto longest = GrantingTimePerConfirmation + MaxGrantingWithoutLease;
        CPPUNIT_ASSERT(earlierGrantersStopAt(predecessor, {"b", TimePoint(), false, Start}, now) == now + GrantingTimePerConfirmation);
        CPPUNIT_ASSERT(earlierGrantersStopAt(predecessor, {"b", now + 1100ms, false, Start}, now) == now + 1100ms);
        CPPUNIT_ASSERT(earlierGrantersStopAt(predecessor, {"d", TimePoint(), false, Start}, now) == now + longest);
        CPPUNIT_ASSERT(earlierGrantersStopAt(predecessor, {"d", TimePoint(), true, Start}, now) == now);
        CPPUNIT_ASSERT(earlierGrantersStopAt(predecessor, {"a", TimePoint(), false, Start}, now) == now);
        // An assignment of an earlier version names nobody.
        CPPUNIT_ASSERT(earlierGrantersStopAt({}, {"b", TimePoint(), false, Start}, now) == now + longest);
        // The predecessor had itself to wait for an earlier granter.
        const GranterRecord waiting{"a", {"b"}, 9s};
        CPPUNIT_ASSERT(earlierGrantersStopAt(waiting, {"b", TimePoint(), false, now - 2s}, now) == now + 7s);
    }

    void standbysAreInOtherDomainsAndStay()
    {
        std::vector<InstanceProfile> instances = {
            {"a", "north", 200, 1}, {"b", "north", 900, 0}, {"c", "south", 200, 0}, {"d", "south", 300, 0}, {"e", "west", 200, 0}};
        const auto standbys = chooseStandbys("service", "a", {}, instances);
        CPPUNIT_ASSERT(standbys == (std::vector<std::string>{"d", "e"}));
        // An instance that ranks higher does not replace a standby.
        instances.push_back({"f", "west", 800, 0});
        CPPUNIT_ASSERT(chooseStandbys("service", "a", standbys, instances) == standbys);
        std::erase_if(instances, [](const InstanceProfile &instance) {
            return instance.name_ == "d";
        });
        CPPUNIT_ASSERT(chooseStandbys("service", "a", standbys, instances) == (std::vector<std::string>{"e", "c"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), claimRank("service", "e", {"e", "c"}, instances));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), claimRank("service", "b", {"e", "c"}, instances));
        // With no other domain left, instances of the granter's own domain stand by.
        const std::vector<InstanceProfile> rest = {{"a", "north", 200, 1}, {"b", "north", 900, 0}};
        CPPUNIT_ASSERT(chooseStandbys("service", "a", {}, rest) == std::vector<std::string>{"b"});
    }

    // Guards against two servers that hold one key because two instances act as its granter.
    void successiveGrantersNeverHaveTwoHolders()
    {
        for (unsigned seed = 1; seed <= ModelSeeds; ++seed) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), SuccessionModel(seed, Rule::Present).run());
        }
    }

    // Guards against keys that run out because the store comes back too briefly for the granter to claim its entry again, while the others
    // get leases and so withhold no claims.
    void keysHaveHoldersThroughTwoOutagesInARow()
    {
        for (Duration offset = Duration::zero(); offset < 600ms; offset += Step) {
            for (Duration gap = 200ms; gap <= 1s; gap += Step) {
                const TimePoint from = FaultsBegin + offset;
                const std::vector<ModelOutage> outages = {{from, from + 6s, true}, {from + 6s + gap, from + 12s + gap, true}};
                const auto label = std::to_string(offset / 1ms) + " ms, " + std::to_string(gap / 1ms) + " ms";
                CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string(), SuccessionModel(1, Rule::Present).run(outages));
            }
        }
    }

    // The model above can fail: it finds the fault of the rule that the present one replaced.
    void modelShowsTheFaultOfTheFormerRule()
    {
        unsigned brokenSeeds = 0;
        for (unsigned seed = 1; seed <= FormerRuleSeeds; ++seed) {
            brokenSeeds += SuccessionModel(seed, Rule::Former).run().starts_with("two holders") ? 1 : 0;
        }
        CPPUNIT_ASSERT(brokenSeeds > 0);
    }

    // Guards against a granter that takes the content of an older copy for the last state: two servers then hold a key, or get it with lower tokens.
    void noTwoHoldersAfterTheStoreCameBackOlder()
    {
        for (unsigned seed = 1; seed <= ModelSeeds; ++seed) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), SuccessionModel(seed, Rule::Present, Faults::Copies).run());
        }
    }

    // The model above can fail: it finds the faults of rules without a part of the present one.
    void modelShowsTheFaultsOfIgnoredEras()
    {
        CPPUNIT_ASSERT(finds(Rule::WithoutEras, "two holders"));
        CPPUNIT_ASSERT(finds(Rule::WithoutEras, "a key was taken with a token"));
        CPPUNIT_ASSERT(finds(Rule::KnowingHolders, "two holders"));
        CPPUNIT_ASSERT(finds(Rule::AlwaysContinuing, "two holders"));
    }

private:
    // Returns whether the model with copies finds a violation that begins like this.
    static bool finds(Rule rule, const std::string &violation)
    {
        for (unsigned seed = 1; seed <= ModelSeeds; ++seed) {
            if (SuccessionModel(seed, rule, Faults::Copies).run().starts_with(violation)) {
                return true;
            }
        }
        return false;
    }

    static constexpr unsigned ModelSeeds = 1000;
    static constexpr unsigned FormerRuleSeeds = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSuccession);
