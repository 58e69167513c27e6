// Implements membership, lease renewal and the witness duties of this instance.
#include <LibCoordination/MembershipManager.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// How often the choice of witnesses is checked.
constexpr Duration WitnessCheckInterval = 1s;

std::size_t countDomains(const ClusterRecord &cluster, const std::vector<Incarnation> &witnesses)
{
    std::set<DomainId> domains;
    for (const Incarnation &witness : witnesses) {
        const Member *member = cluster.find(witness);
        if (member && member->isLive()) {
            domains.insert(member->domain_);
        }
    }
    return domains.size();
}

} // namespace

MembershipManager::MembershipManager(CoordinationContext &context, RecordChanger &changer)
    : context_(context)
    , changer_(changer)
    , lease_(context.self(), context.settings().terms_)
    , witness_(context.settings().terms_)
{
}

bool MembershipManager::isMember() const
{
    const Member *self = context_.catalog().cluster().find(context_.self());
    return self && !self->isSealing();
}

bool MembershipManager::isFenced() const
{
    const Member *self = context_.catalog().cluster().find(context_.self());
    const bool wasRemoved = hasJoined_ && !self;
    return lease_.isSealed() || wasRemoved || (self && self->isSealing());
}

void MembershipManager::rejoin(Now now)
{
    const Incarnation &old = context_.self();
    const std::uint64_t number = std::max<std::uint64_t>(old.number_ + 1, static_cast<std::uint64_t>(now.wallClock_));
    LOG(WARNING) << "incarnation " << old.toString() << " was sealed; joining again as incarnation " << number;
    context_.setSelf({old.instance_, number});
    lease_ = LeaseHolder(context_.self(), context_.settings().terms_);
    witness_ = Witness(context_.settings().terms_);
    syncedUntil_.clear();
    witnessDutiesVersion_ = 0;
    hasJoined_ = false;
}

void MembershipManager::tick(Now now, Participation participation)
{
    const Member *self = context_.catalog().cluster().find(context_.self());
    if (!self) {
        if (participation == Participation::Member) {
            join(now);
        }
        return;
    }
    hasJoined_ = true;
    if (participation == Participation::Leaving && self->isLive()) {
        announceLeaving(now);
    }
    maintainWitnesses(now);
    sendRenewals(now);
    updateWitnessDuties(now);
}

void MembershipManager::join(Now now)
{
    const CoordinatorSettings &settings = context_.settings();
    RecordChange change;
    change.key_ = clusterKey();
    change.tag_ = "join/" + context_.self().toString();
    change.actor_ = context_.self().toString();
    change.reason_ = "joined";
    change.compute_ = [self = context_.self(), settings](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto cluster = current.version_ == 0 ? ClusterRecord() : decode<ClusterRecord>(current.value_);
        if (!cluster || cluster->find(self)) {
            return std::nullopt;
        }
        Member member{self, settings.address_, settings.domain_, chooseWitnesses(*cluster, self, settings.domain_), 0};
        return encode(cluster->withMember(std::move(member), note));
    };
    changer_.submit(std::move(change), now);
}

void MembershipManager::announceLeaving(Now now)
{
    RecordChange change;
    change.key_ = clusterKey();
    change.tag_ = "leaving/" + context_.self().toString();
    change.actor_ = context_.self().toString();
    change.reason_ = "leaving";
    change.compute_ = [self = context_.self()](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto cluster = decode<ClusterRecord>(current.value_);
        if (!cluster || !cluster->isLive(self)) {
            return std::nullopt;
        }
        return encode(cluster->withState(self, MemberState::Leaving, note));
    };
    changer_.submit(std::move(change), now);
}

bool MembershipManager::isWitnessForOthers() const
{
    const auto &members = context_.catalog().cluster().members();
    return std::any_of(members.begin(), members.end(), [&](const Member &member) {
        const bool isNamed = std::find(member.witnesses_.begin(), member.witnesses_.end(), context_.self()) != member.witnesses_.end();
        return isNamed && member.isLive();
    });
}

void MembershipManager::maintainWitnesses(Now now)
{
    const Member &self = *context_.catalog().cluster().find(context_.self());
    const std::string tag = "witnesses/" + context_.self().toString();
    if (changer_.isPending(tag)) {
        return;
    }
    if (lease_.witnesses() != WitnessSets{self.witnesses_, {}}) {
        lease_.setWitnesses({self.witnesses_, {}});
    }
    if (now.monotonic_ < nextWitnessCheck_ || !self.isLive()) {
        return;
    }
    nextWitnessCheck_ = now.monotonic_ + context_.jitter(WitnessCheckInterval);
    const std::vector<Incarnation> better = findBetterWitnesses(self);
    if (better.empty()) {
        return;
    }
    // Until the outcome of the swap is known, a takeover may read either set from the store, so the lease needs both.
    lease_.setWitnesses({self.witnesses_, better});
    RecordChange change;
    change.key_ = clusterKey();
    change.tag_ = tag;
    change.actor_ = context_.self().toString();
    change.reason_ = "witnesses replaced";
    change.compute_ = [incarnation = context_.self(), better](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto cluster = decode<ClusterRecord>(current.value_);
        if (!cluster || !cluster->isLive(incarnation)) {
            return std::nullopt;
        }
        return encode(cluster->withWitnesses(incarnation, better, note));
    };
    changer_.submit(std::move(change), now);
}

std::vector<Incarnation> MembershipManager::findBetterWitnesses(const Member &self) const
{
    const ClusterRecord &cluster = context_.catalog().cluster();
    const std::vector<Incarnation> ideal = chooseWitnesses(cluster, self.incarnation_, self.domain_);
    const bool areAllLive = std::all_of(self.witnesses_.begin(), self.witnesses_.end(), [&](const Incarnation &witness) {
        return cluster.isLive(witness);
    });
    const bool hasMoreCoverage = ideal.size() > self.witnesses_.size() || countDomains(cluster, ideal) > countDomains(cluster, self.witnesses_);
    const bool isSelfWitness = self.witnesses_ == std::vector{self.incarnation_} && ideal != self.witnesses_;
    if (areAllLive && !hasMoreCoverage && !isSelfWitness) {
        return {};
    }
    // Live witnesses are kept if possible, so that the lease keeps its majority while another witness is replaced.
    std::vector<Incarnation> kept;
    for (const Incarnation &witness : self.witnesses_) {
        if (cluster.isLive(witness) && witness != self.incarnation_) {
            kept.push_back(witness);
        }
    }
    for (const Incarnation &witness : ideal) {
        if (kept.size() < ideal.size() && std::find(kept.begin(), kept.end(), witness) == kept.end()) {
            kept.push_back(witness);
        }
    }
    const bool hasFullCoverage = kept.size() == ideal.size() && countDomains(cluster, kept) == countDomains(cluster, ideal);
    return hasFullCoverage ? kept : ideal;
}

void MembershipManager::sendRenewals(Now now)
{
    for (const LeaseHolder::RenewalDue &due : lease_.takeRenewalsDue(now.monotonic_)) {
        context_.send(due.witness_, RenewRequest{due.sequence_, context_.catalog().digest()});
    }
}

void MembershipManager::updateWitnessDuties(Now now)
{
    const Version version = context_.catalog().cluster().version();
    if (version == witnessDutiesVersion_) {
        return;
    }
    witnessDutiesVersion_ = version;
    std::vector<Incarnation> members;
    for (const Member &member : context_.catalog().cluster().members()) {
        members.push_back(member.incarnation_);
        const bool isWitness = std::find(member.witnesses_.begin(), member.witnesses_.end(), context_.self()) != member.witnesses_.end();
        if (isWitness && member.incarnation_ != context_.self()) {
            witness_.expect(member.incarnation_, now.monotonic_);
        }
    }
    witness_.retain(members);
    std::erase_if(syncedUntil_, [&](const auto &entry) {
        return !context_.catalog().cluster().find(entry.first);
    });
}

void MembershipManager::handleRenewRequest(const Envelope &envelope, const RenewRequest &request, Now now)
{
    const std::uint64_t digest = context_.catalog().digest();
    if (request.digest_ == digest) {
        recordSynced(envelope.from_, now.monotonic_);
    }
    const TimePoint syncedUntil = syncedUntil_.try_emplace(envelope.from_, now.monotonic_).first->second;
    RenewalResult result = RenewalResult::OutOfSync;
    if (witness_.isSealed(envelope.from_)) {
        result = RenewalResult::Sealed;
    } else if (now.monotonic_ - syncedUntil <= context_.settings().syncLimit_) {
        result = witness_.renew(envelope.from_, now.monotonic_);
    } else {
        // The holder is alive but lacks records, so it must not be suspected of having failed.
        witness_.recordContact(envelope.from_, now.monotonic_);
    }
    context_.sendTo(envelope.fromAddress_, envelope.from_, RenewResponse{request.sequence_, static_cast<std::uint8_t>(result), digest});
}

void MembershipManager::handleRenewResponse(const Incarnation &witness, const RenewResponse &response)
{
    if (response.result_ == static_cast<std::uint8_t>(RenewalResult::Granted)) {
        lease_.handleGranted(witness, response.sequence_);
    }
    if (response.result_ == static_cast<std::uint8_t>(RenewalResult::Sealed)) {
        lease_.setSealed();
    }
}

void MembershipManager::recordSynced(const Incarnation &peer, TimePoint until)
{
    TimePoint &known = syncedUntil_[peer];
    known = std::max(known, until);
}

} // namespace Goldcrestwall
