// Implements failure detection and the takeover of failed members.
#include <LibCoordination/FailureManager.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr Duration LastContactQueryInterval = 100ms;
// The takeover delay per rank, so that usually one member does all the work.
constexpr Duration TakeoverStagger = 300ms;
// How many members check the presence of a given member in the platform's list.
constexpr std::size_t AbsenceCheckers = 3;

} // namespace

FailureManager::FailureManager(CoordinationContext &context, RecordChanger &changer, MembershipManager &membership)
    : context_(context)
    , changer_(changer)
    , membership_(membership)
{
}

void FailureManager::tick(Now now)
{
    if (!membership_.isMember()) {
        return;
    }
    std::erase_if(stoppedPredecessors_, [&](const Incarnation &predecessor) {
        return !context_.catalog().cluster().find(predecessor);
    });
    investigateSuspects(now);
    investigateAbsentMembers(now);
    advanceTakeovers(now);
}

void FailureManager::investigateSuspects(Now now)
{
    const std::vector<Incarnation> suspects = membership_.witness().suspects(now.monotonic_);
    std::erase_if(suspects_, [&](const auto &suspectState) {
        return std::find(suspects.begin(), suspects.end(), suspectState.first) == suspects.end();
    });
    for (const Incarnation &suspect : suspects) {
        const Member *member = context_.catalog().cluster().find(suspect);
        const bool isMyHolder = member && std::find(member->witnesses_.begin(), member->witnesses_.end(), context_.self()) != member->witnesses_.end();
        if (!isMyHolder || member->isSealing()) {
            continue;
        }
        Suspect &suspectState = suspects_[suspect];
        suspectState.suspectingWitnesses_.insert(context_.self());
        if (suspectState.suspectingWitnesses_.size() >= majorityOf(member->witnesses_.size())) {
            seal(suspect, "silent at a majority of its witnesses", now);
            continue;
        }
        if (now.monotonic_ >= suspectState.nextQuery_) {
            suspectState.nextQuery_ = now.monotonic_ + LastContactQueryInterval;
            for (const Incarnation &witness : member->witnesses_) {
                if (witness != context_.self()) {
                    context_.send(witness, LastContactRequest{suspect});
                }
            }
        }
    }
}

void FailureManager::investigateAbsentMembers(Now now)
{
    const ClusterRecord &cluster = context_.catalog().cluster();
    std::erase_if(absentSince_, [&](const auto &absent) {
        return !cluster.find(absent.first) || platformList_.contains(absent.first);
    });
    // A list that lacks this instance is outdated or not from the platform, so it is no evidence about other members.
    if (!platformList_.contains(context_.self())) {
        absentSince_.clear();
        return;
    }
    for (const Member &member : cluster.members()) {
        const Incarnation &incarnation = member.incarnation_;
        if (platformList_.contains(incarnation) || incarnation == context_.self()) {
            continue;
        }
        absentSince_.try_emplace(incarnation, now.monotonic_);
        const bool isResponsible = context_.dutyRank(incarnation.toString()) < AbsenceCheckers;
        if (!member.isSealing() && isResponsible && isGoneFromPlatform(incarnation, now)) {
            seal(incarnation, "gone from the platform's list", now);
        }
    }
}

bool FailureManager::isGoneFromPlatform(const Incarnation &target, Now now) const
{
    const auto absent = absentSince_.find(target);
    // A list that is not refreshed is no evidence of the current state.
    const bool isFresh = now.monotonic_ - platformList_.receivedAt_ <= context_.settings().platformListLag_;
    return isFresh && absent != absentSince_.end() && now.monotonic_ - absent->second > context_.settings().platformListLag_;
}

void FailureManager::seal(const Incarnation &target, const std::string &reason, Now now)
{
    RecordChange change;
    change.key_ = clusterKey();
    change.tag_ = "seal/" + target.toString();
    change.actor_ = context_.self().toString();
    change.reason_ = target.toString() + " " + reason;
    change.compute_ = [target](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto cluster = decode<ClusterRecord>(current.value_);
        const Member *member = cluster ? cluster->find(target) : nullptr;
        if (!member || member->isSealing()) {
            return std::nullopt;
        }
        return encode(cluster->withState(target, MemberState::Sealing, note));
    };
    changer_.submit(std::move(change), now);
}

void FailureManager::advanceTakeovers(Now now)
{
    // 1. Keep one pending takeover for every member that is being sealed.
    const ClusterRecord &cluster = context_.catalog().cluster();
    std::erase_if(pendingTakeovers_, [&](const auto &pendingTakeover) {
        return !cluster.find(pendingTakeover.first);
    });
    for (const Member &member : cluster.members()) {
        if (member.isSealing() && member.incarnation_ != context_.self()) {
            const std::size_t rank = stoppedPredecessors_.contains(member.incarnation_) ? 0 : context_.dutyRank(member.incarnation_.toString());
            const TimePoint startAt = now.monotonic_ + TakeoverStagger * static_cast<Duration::rep>(rank);
            pendingTakeovers_.try_emplace(
                member.incarnation_, PendingTakeover{Takeover(member.incarnation_, member.witnesses_, context_.settings().terms_, startAt), now.monotonic_});
        }
    }
    // 2. Request seals and reassign the servers for which it is safe.
    for (auto &[target, pendingTakeover] : pendingTakeovers_) {
        if (now.monotonic_ < pendingTakeover.takeover_.startedAt()) {
            continue;
        }
        for (const Incarnation &witness : pendingTakeover.takeover_.takeSealsDue(now.monotonic_)) {
            context_.send(witness, SealRequest{target});
        }
        const Scope scope = scopeOf(pendingTakeover, now);
        if (scope == Scope::None) {
            continue;
        }
        if (dispatchesAny(target)) {
            reassign(target, scope, now);
        } else if (scope == Scope::All) {
            removeMember(target, now);
        }
    }
}

FailureManager::Scope FailureManager::scopeOf(const PendingTakeover &pendingTakeover, Now now) const
{
    if (stoppedPredecessors_.contains(pendingTakeover.takeover_.target())) {
        return Scope::All;
    }
    const auto safeAt = pendingTakeover.takeover_.safeAt();
    if (safeAt) {
        return now.monotonic_ >= *safeAt ? Scope::All : Scope::None;
    }
    if (now.monotonic_ - pendingTakeover.takeover_.startedAt() < context_.settings().sealTimeout_) {
        return Scope::None;
    }
    return isGoneFromPlatform(pendingTakeover.takeover_.target(), now) ? Scope::All : Scope::CheckingServers;
}

bool FailureManager::dispatchesAny(const Incarnation &target) const
{
    for (const auto &[key, record] : context_.catalog().services()) {
        for (const ServerEntry &entry : record->servers()) {
            if (entry.dispatcher_ == target) {
                return true;
            }
        }
    }
    return false;
}

void FailureManager::reassign(const Incarnation &target, Scope scope, Now now)
{
    for (const auto &[key, record] : context_.catalog().services()) {
        reassignService(target, key, scope, now);
    }
}

void FailureManager::reassignService(const Incarnation &target, const ServiceKey &service, Scope scope, Now now)
{
    RecordChange change;
    change.key_ = serviceKey(service);
    change.tag_ = "takeover/" + target.toString() + "/" + change.key_;
    change.actor_ = context_.self().toString();
    change.reason_ = "takeover of " + target.toString();
    change.compute_ = [this, target, service, scope](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto record = readServiceRecord(current);
        const ServiceConfiguration *configuration = context_.catalog().findConfiguration(service);
        if (!record) {
            return std::nullopt;
        }
        std::vector<ServerId> orphans;
        for (const ServerEntry &entry : record->servers()) {
            const ServerConfiguration *server = configuration ? configuration->findServer(entry.server_) : nullptr;
            const bool isChecking = server && server->tokenChecking_ == TokenChecking::Checks;
            if (entry.dispatcher_ == target && (scope == Scope::All || isChecking)) {
                orphans.push_back(entry.server_);
            }
        }
        const std::vector<ServerEntry> chosen = chooseDispatchers(context_.catalog(), orphans);
        if (chosen.empty()) {
            return std::nullopt;
        }
        return encode(record->withDispatchers(chosen, note));
    };
    const auto known = context_.catalog().findService(service);
    const bool isAffected = known && std::any_of(known->servers().begin(), known->servers().end(), [&](const ServerEntry &entry) {
                                return entry.dispatcher_ == target;
                            });
    if (isAffected) {
        changer_.submit(std::move(change), now);
    }
}

void FailureManager::removeMember(const Incarnation &target, Now now)
{
    RecordChange change;
    change.key_ = clusterKey();
    change.tag_ = "remove/" + target.toString();
    change.actor_ = context_.self().toString();
    change.reason_ = target.toString() + " taken over";
    change.compute_ = [target](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto cluster = decode<ClusterRecord>(current.value_);
        if (!cluster || !cluster->find(target)) {
            return std::nullopt;
        }
        return encode(cluster->withoutMember(target, note));
    };
    changer_.submit(std::move(change), now);
}

void FailureManager::handleLastContactRequest(const Envelope &envelope, const LastContactRequest &request, Now now)
{
    const auto timeSinceContact = membership_.witness().timeSinceContact(request.target_, now.monotonic_);
    const std::int64_t microseconds = timeSinceContact ? timeSinceContact->count() : -1;
    context_.sendTo(envelope.fromAddress_, envelope.from_, LastContactResponse{request.target_, microseconds});
}

void FailureManager::handleLastContactResponse(const Incarnation &witness, const LastContactResponse &response)
{
    const auto suspectState = suspects_.find(response.target_);
    const Member *member = context_.catalog().cluster().find(response.target_);
    if (suspectState == suspects_.end() || !member) {
        return;
    }
    const bool isWitness = std::find(member->witnesses_.begin(), member->witnesses_.end(), witness) != member->witnesses_.end();
    const bool isSuspecting = response.sinceContactMicroseconds_ < 0 || Duration(response.sinceContactMicroseconds_) > context_.settings().terms_.suspectAfter_;
    if (isWitness && isSuspecting) {
        suspectState->second.suspectingWitnesses_.insert(witness);
    } else {
        suspectState->second.suspectingWitnesses_.erase(witness);
    }
}

void FailureManager::handleSealRequest(const Envelope &envelope, const SealRequest &request, Now now)
{
    const Duration remaining = membership_.witness().seal(request.target_, now.monotonic_);
    context_.sendTo(envelope.fromAddress_, envelope.from_, SealResponse{request.target_, remaining.count()});
}

void FailureManager::handleSealResponse(const Incarnation &witness, const SealResponse &response, Now now)
{
    const auto pendingTakeover = pendingTakeovers_.find(response.target_);
    if (pendingTakeover != pendingTakeovers_.end() && response.remainingMicroseconds_ >= 0) {
        pendingTakeover->second.takeover_.handleSealed(witness, Duration(response.remainingMicroseconds_), now.monotonic_);
    }
}

std::vector<ServerEntry> chooseDispatchers(const RecordCatalog &catalog, const std::vector<ServerId> &servers)
{
    std::map<Incarnation, std::size_t> counts;
    for (const auto &[key, record] : catalog.services()) {
        for (const ServerEntry &entry : record->servers()) {
            ++counts[entry.dispatcher_];
        }
    }
    std::vector<ServerEntry> chosen;
    for (const ServerId &server : servers) {
        const std::vector<Incarnation> order = rendezvousOrder(catalog.cluster(), server.value_);
        const auto best = std::min_element(order.begin(), order.end(), [&](const Incarnation &left, const Incarnation &right) {
            return counts[left] < counts[right];
        });
        if (best != order.end()) {
            ++counts[*best];
            chosen.push_back({server, *best, 0});
        }
    }
    return chosen;
}

std::optional<ServiceRecord> readServiceRecord(const RecordValue &current)
{
    if (current.version_ == 0) {
        return std::nullopt;
    }
    auto record = decode<ServiceRecord>(current.value_);
    return record && record->isWellFormed() ? record : std::nullopt;
}

} // namespace Goldcrestwall
