// Implements the control plane of one instance: polling, synchronization of records and dispatch of messages to the managers.
#include <LibCoordination/Coordinator.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// The minimum interval between two sync requests to the same peer.
constexpr Duration SyncInterval = 100ms;
constexpr Duration SeedQueryInterval = 500ms;
// How long a leaving witness waits until the holders have replaced it.
constexpr Duration WitnessReplacementTimeout = 5s;

} // namespace

Coordinator::Coordinator(const CoordinatorSettings &settings, std::uint64_t incarnationNumber, DataPlaneQueries dataPlane, std::uint64_t seed)
    : context_(settings, Incarnation{settings.instance_, incarnationNumber}, seed)
    , changer_(context_)
    , membership_(context_, changer_)
    , failures_(context_, changer_, membership_)
    , ownership_(context_, changer_, membership_, std::move(dataPlane))
{
}

void Coordinator::tick(Now now)
{
    if (membership_.isFenced() && participation_ == Participation::Member) {
        failures_.recordPredecessorStopped(context_.self());
        membership_.rejoin(now);
        ownership_.reset();
        table_.reset();
    }
    pollStore(now);
    readClusterIfNeeded(now);
    querySeeds(now);
    changer_.tick(now);
    membership_.tick(now, participation_);
    failures_.tick(now);
    ownership_.tick(now, participation_);
    // The last instance has no member to hand its servers over to. The next instance to join finds them without dispatcher.
    const bool isLast = context_.catalog().cluster().liveMembers().empty();
    if (participation_ == Participation::Leaving && (ownership_.isIdle() || isLast)) {
        removeSelfWhenUnneeded(now);
    }
}

void Coordinator::leave()
{
    participation_ = Participation::Leaving;
}

bool Coordinator::hasLeft() const
{
    return participation_ == Participation::Leaving && !context_.catalog().cluster().find(context_.self()) && !changer_.isAnyPending();
}

void Coordinator::removeSelfWhenUnneeded(Now now)
{
    const Member *self = context_.catalog().cluster().find(context_.self());
    if (!self || self->isLive()) {
        return;
    }
    if (!idleSince_) {
        idleSince_ = now.monotonic_;
    }
    const bool hasTimedOut = now.monotonic_ - *idleSince_ > WitnessReplacementTimeout;
    if (!membership_.isWitnessForOthers() || hasTimedOut) {
        removeSelf(now);
    }
}

void Coordinator::removeSelf(Now now)
{
    // The removal may take effect although the response is lost. Another instance may then dispatch for servers that this incarnation was
    // given in the meantime, so its lease is no longer used.
    isRemovingSelf_ = true;
    RecordChange change;
    change.key_ = clusterKey();
    change.tag_ = "leave/" + context_.self().toString();
    change.actor_ = context_.self().toString();
    change.reason_ = "left";
    change.compute_ = [self = context_.self()](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto cluster = current.version_ == 0 ? std::nullopt : decode<ClusterRecord>(current.value_);
        if (!cluster || !cluster->find(self)) {
            return std::nullopt;
        }
        return encode(cluster->withoutMember(self, note));
    };
    changer_.submit(std::move(change), now);
}

TimePoint Coordinator::leaseExpiry() const
{
    return isRemovingSelf_ || membership_.isFenced() || !membership_.isMember() ? TimePoint() : membership_.lease().expiry();
}

std::shared_ptr<const RoutingTable> Coordinator::routingTable()
{
    isComplete_ = isComplete_ || hasCaughtUp();
    const bool isCurrent = table_ && table_->isComplete() == isComplete_ && tableCatalogGeneration_ == context_.catalog().generation()
        && tableClosedGeneration_ == ownership_.generation();
    if (!isCurrent) {
        tableCatalogGeneration_ = context_.catalog().generation();
        tableClosedGeneration_ = ownership_.generation();
        table_ = std::make_shared<const RoutingTable>(context_.self(), context_.catalog(), ownership_.closed(), isComplete_);
    }
    return table_;
}

bool Coordinator::isWatcher()
{
    const ClusterRecord &cluster = context_.catalog().cluster();
    if (!cluster.isLive(context_.self())) {
        // An instance that is not a member yet polls the store itself.
        return true;
    }
    if (watcherVersion_ != cluster.version()) {
        watcherVersion_ = cluster.version();
        const std::string duty = "watch/" + context_.settings().domain_.value_;
        const std::uint64_t own = rendezvousWeight(duty, context_.self().instance_.value_);
        std::size_t rank = 0;
        for (const Member &member : cluster.members()) {
            const bool isInSameDomain = member.isLive() && member.domain_ == context_.settings().domain_;
            rank += isInSameDomain && rendezvousWeight(duty, member.incarnation_.instance_.value_) > own ? 1 : 0;
        }
        isWatcher_ = rank < context_.settings().watchersPerDomain_;
    }
    return isWatcher_;
}

void Coordinator::pollStore(Now now)
{
    // After a failed store call, an instance polls until the store responds again.
    const bool mustPoll = isWatcher() || context_.isStoreFailing();
    if (listCall_ != 0 || now.monotonic_ < nextPoll_ || !mustPoll) {
        return;
    }
    nextPoll_ = now.monotonic_ + context_.jitter(context_.settings().pollInterval_);
    listCall_ = context_.nextCall();
    context_.addAction(ListRecords{listCall_});
}

void Coordinator::readClusterIfNeeded(Now now)
{
    const bool isReading = std::any_of(reads_.begin(), reads_.end(), [](const auto &read) {
        return read.second.key_ == clusterKey();
    });
    if (!ownership_.isClusterReadNeeded() || isReading) {
        return;
    }
    const std::uint64_t call = context_.nextCall();
    reads_.emplace(call, PendingRead{clusterKey(), now.monotonic_});
    context_.addAction(ReadRecord{call, clusterKey()});
}

void Coordinator::querySeeds(Now now)
{
    // Members receive records from their witnesses and lease holders. Only an instance that is no member queries the seeds.
    if (membership_.isMember() || now.monotonic_ < nextSeedQuery_) {
        return;
    }
    nextSeedQuery_ = now.monotonic_ + context_.jitter(SeedQueryInterval);
    for (const std::string &seed : context_.settings().seeds_) {
        if (seed != context_.settings().address_) {
            context_.sendTo(seed, {}, SyncRequest{context_.catalog().versions()});
        }
    }
}

void Coordinator::handleStoreResponse(const StoreResponse &response, Now now)
{
    if (response.status_ == StoreStatus::Done || response.status_ == StoreStatus::Conflict) {
        storeRespondedAt_ = now.monotonic_;
    }
    context_.setStoreFailing(response.status_ == StoreStatus::Unavailable || response.status_ == StoreStatus::Unknown);
    if (response.call_ == listCall_) {
        handleList(response, now);
        return;
    }
    if (reads_.contains(response.call_)) {
        handleRead(response, now);
        return;
    }
    changer_.handleResponse(response, now);
}

void Coordinator::handleList(const StoreResponse &response, Now now)
{
    listCall_ = 0;
    if (response.status_ != StoreStatus::Done) {
        return;
    }
    hasListed_ = true;
    for (const RecordVersion &version : response.versions_) {
        if (!kindOfRecord(version.key_) || version.version_ <= context_.catalog().versionOf(version.key_)) {
            continue;
        }
        const std::uint64_t call = context_.nextCall();
        reads_.emplace(call, PendingRead{version.key_, now.monotonic_});
        context_.addAction(ReadRecord{call, version.key_});
    }
}

void Coordinator::handleRead(const StoreResponse &response, Now now)
{
    const PendingRead read = reads_.at(response.call_);
    reads_.erase(response.call_);
    if (response.status_ != StoreStatus::Done) {
        return;
    }
    if (context_.catalog().adopt(response.record_, now.monotonic_) == AdoptionResult::Malformed && response.record_.version_ > 0) {
        LOG(ERROR) << "record " << read.key_ << " version " << response.record_.version_ << " in the store is malformed; version "
                   << context_.catalog().versionOf(read.key_) << " remains in use";
    }
    if (read.key_ == clusterKey()) {
        ownership_.recordClusterRead(read.startedAt_);
    }
}

void Coordinator::handleMessage(const Envelope &envelope, Now now)
{
    // A message to an earlier incarnation refers to renewals and seals that this incarnation did not grant.
    if (!envelope.to_.isEmpty() && envelope.to_ != context_.self()) {
        return;
    }
    struct Visitor
    {
        Coordinator &coordinator_;
        const Envelope &envelope_;
        Now now_;

        void operator()(const RenewRequest &request) const
        {
            coordinator_.membership_.handleRenewRequest(envelope_, request, now_);
        }
        void operator()(const RenewResponse &response) const
        {
            coordinator_.membership_.handleRenewResponse(envelope_.from_, response);
            coordinator_.requestSync(envelope_, response.digest_, now_);
        }
        void operator()(const LastContactRequest &request) const
        {
            coordinator_.failures_.handleLastContactRequest(envelope_, request, now_);
        }
        void operator()(const LastContactResponse &response) const
        {
            coordinator_.failures_.handleLastContactResponse(envelope_.from_, response);
        }
        void operator()(const SealRequest &request) const
        {
            coordinator_.failures_.handleSealRequest(envelope_, request, now_);
        }
        void operator()(const SealResponse &response) const
        {
            coordinator_.failures_.handleSealResponse(envelope_.from_, response, now_);
        }
        void operator()(const SyncRequest &request) const
        {
            coordinator_.handleSyncRequest(envelope_, request, now_);
        }
        void operator()(const SyncResponse &response) const
        {
            coordinator_.handleSyncResponse(envelope_, response, now_);
        }
        void operator()(const LoadReport &report) const
        {
            coordinator_.ownership_.handleLoadReport(envelope_.from_, report, now_);
        }
        void operator()(const MoveRequest &request) const
        {
            coordinator_.ownership_.handleMoveRequest(request);
        }
        void operator()(const AdoptionRequest &request) const
        {
            const Version version = coordinator_.context_.catalog().versionOf(request.key_);
            coordinator_.context_.sendTo(envelope_.fromAddress_, envelope_.from_, AdoptionResponse{request.key_, version});
        }
        void operator()(const AdoptionResponse &response) const
        {
            Version &known = coordinator_.adoptions_[response.key_][envelope_.from_];
            known = std::max(known, response.version_);
        }
    };
    std::visit(Visitor{*this, envelope, now}, envelope.message_);
}

void Coordinator::requestSync(const Envelope &envelope, std::uint64_t digest, Now now)
{
    if (digest == context_.catalog().digest()) {
        return;
    }
    TimePoint &requestedAt = syncRequestedAt_[envelope.from_];
    if (requestedAt != TimePoint() && now.monotonic_ - requestedAt < SyncInterval) {
        return;
    }
    requestedAt = now.monotonic_;
    context_.sendTo(envelope.fromAddress_, envelope.from_, SyncRequest{context_.catalog().versions()});
}

void Coordinator::handleSyncRequest(const Envelope &envelope, const SyncRequest &request, Now now)
{
    membership_.recordSynced(envelope.from_, context_.catalog().syncedUntil(request.versions_, now.monotonic_));
    std::map<RecordKey, Version> known;
    for (const RecordVersion &version : request.versions_) {
        known[version.key_] = version.version_;
    }
    SyncResponse response;
    for (const RecordVersion &version : context_.catalog().versions()) {
        if (known[version.key_] < version.version_) {
            response.records_.push_back(*context_.catalog().find(version.key_));
        }
    }
    for (const RecordVersion &version : request.versions_) {
        if (version.version_ > context_.catalog().versionOf(version.key_)) {
            response.requestedKeys_.push_back(version.key_);
        }
    }
    if (!response.records_.empty() || !response.requestedKeys_.empty()) {
        context_.sendTo(envelope.fromAddress_, envelope.from_, std::move(response));
    }
}

bool Coordinator::hasCaughtUp() const
{
    return hasSynced_ || (hasListed_ && reads_.empty());
}

void Coordinator::handleSyncResponse(const Envelope &envelope, const SyncResponse &response, Now now)
{
    hasSynced_ = hasSynced_ || !response.records_.empty();
    for (const RecordValue &record : response.records_) {
        if (context_.catalog().adopt(record, now.monotonic_) == AdoptionResult::Malformed) {
            LOG(WARNING) << "instance " << envelope.from_.toString() << " sent a malformed record " << record.key_;
        }
    }
    SyncResponse reply;
    for (const RecordKey &key : response.requestedKeys_) {
        const RecordValue *record = context_.catalog().find(key);
        if (record) {
            reply.records_.push_back(*record);
        }
    }
    if (!reply.records_.empty()) {
        context_.sendTo(envelope.fromAddress_, envelope.from_, std::move(reply));
    }
    // Confirms the adopted versions to the peer immediately instead of with the next renewal.
    if (!response.records_.empty()) {
        context_.sendTo(envelope.fromAddress_, envelope.from_, SyncRequest{context_.catalog().versions()});
    }
}

void Coordinator::setPlatformList(PlatformList list)
{
    failures_.setPlatformList(std::move(list));
}

AdoptionState Coordinator::queryAdoption(const RecordKey &key, Now)
{
    AdoptionState state{key, context_.catalog().versionOf(key), {}, {}};
    std::map<Incarnation, Version> &known = adoptions_[key];
    std::erase_if(known, [&](const auto &entry) {
        return !context_.catalog().cluster().find(entry.first);
    });
    known[context_.self()] = state.version_;
    for (const Member &member : context_.catalog().cluster().members()) {
        if (known[member.incarnation_] >= state.version_) {
            state.confirmed_.push_back(member.incarnation_);
            continue;
        }
        state.missing_.push_back(member.incarnation_);
        context_.send(member.incarnation_, AdoptionRequest{key});
    }
    return state;
}

void Coordinator::requestMove(const Incarnation &dispatcher, MoveRequest request, Now)
{
    context_.send(dispatcher, std::move(request));
}

std::optional<Duration> Coordinator::timeSinceStoreResponse(Now now) const
{
    return storeRespondedAt_ ? std::optional<Duration>(now.monotonic_ - *storeRespondedAt_) : std::nullopt;
}

} // namespace Goldcrestwall
