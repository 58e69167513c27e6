// Implements proposals of service records, moves of ranges, handovers of servers and load balancing.
#include <LibCoordination/OwnershipManager.h>

#include <LibCoordination/FailureManager.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr Duration TickInterval = 20ms;
constexpr Duration HandoverCheckInterval = 500ms;
// Reports older than this many load intervals are not used.
constexpr int StaleLoadIntervals = 4;
// By how many servers an instance may exceed the mean before it hands one over.
constexpr std::size_t HandoverSlack = 1;

RecordChange makeServiceChange(const ServiceKey &service, const std::string &duty, const std::string &actor, std::string reason)
{
    RecordChange change;
    change.key_ = serviceKey(service);
    change.tag_ = duty + "/" + change.key_;
    change.actor_ = actor;
    change.reason_ = std::move(reason);
    return change;
}

} // namespace

OwnershipManager::OwnershipManager(CoordinationContext &context, RecordChanger &changer, MembershipManager &membership, DataPlaneQueries dataPlane)
    : context_(context)
    , changer_(changer)
    , membership_(membership)
    , dataPlane_(std::move(dataPlane))
{
}

void OwnershipManager::reset()
{
    closed_ = {};
    ++generation_;
    moves_.clear();
    handovers_.clear();
    receivedLoads_.clear();
    lostServers_.clear();
}

void OwnershipManager::tick(Now now, Participation participation)
{
    // Runs at most once per tick interval, unless a record or a closed range has changed.
    const std::uint64_t seen = context_.catalog().generation() + generation_;
    if (!membership_.isMember() || (now.monotonic_ < nextTick_ && seen == seenGeneration_)) {
        return;
    }
    nextTick_ = now.monotonic_ + TickInterval;
    seenGeneration_ = seen;
    // 1. Finish moves and handovers of earlier calls. Ranges that are closed in this call are published to the data plane only after it
    // returns, so only the next call may check whether they are drained.
    finishMoves(now);
    finishHandovers(now);
    // 2. Proposals. They need no lease, because they only assign what has no owner or dispatcher.
    isClusterReadNeeded_ = false;
    for (const auto &[customer, configuration] : context_.catalog().configurations()) {
        for (const ServiceConfiguration &service : configuration->services_) {
            const ServiceKey key{customer, service.id_};
            if (context_.dutyHolder(serviceKey(key)) == context_.self()) {
                propose(key, service, now);
            }
        }
    }
    // 3. Work as dispatcher and balancer.
    for (const auto &[service, record] : context_.catalog().services()) {
        const ServiceConfiguration *configuration = context_.catalog().findConfiguration(service);
        evacuateServers(service, configuration, *record);
        if (configuration && configuration->kind_ == ServiceKind::Keyed) {
            balance(service, *configuration, *record, now);
        }
    }
    // Balancing the number of servers per dispatcher can be deferred; a planned stop cannot.
    if (participation == Participation::Leaving || now.monotonic_ >= nextHandoverCheck_) {
        nextHandoverCheck_ = now.monotonic_ + HandoverCheckInterval;
        startHandovers(participation);
    }
    reportLoads(now);
}

void OwnershipManager::propose(const ServiceKey &service, const ServiceConfiguration &configuration, Now now)
{
    const auto record = context_.catalog().findService(service);
    proposeServers(service, configuration, record.get(), now);
    if (record) {
        proposeDispatchers(service, *record, now);
        proposeOwners(service, configuration, *record, now);
    }
}

void OwnershipManager::proposeServers(const ServiceKey &service, const ServiceConfiguration &configuration, const ServiceRecord *record, Now now)
{
    std::vector<ServerId> wanted;
    for (const ServerConfiguration &server : configuration.servers_) {
        wanted.push_back(server.id_);
    }
    const auto isChanged = [wanted](const ServiceRecord &present) {
        const ServiceRecord next = present.withServers(wanted, {});
        return next.servers() != present.servers();
    };
    if (record && !isChanged(*record)) {
        return;
    }
    RecordChange change = makeServiceChange(service, "servers", context_.self().toString(), "configured servers");
    const SliceIndex sliceCount = configuration.kind_ == ServiceKind::Keyed ? configuration.sliceCount_ : 1;
    change.compute_ = [=](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto present = current.version_ == 0 ? ServiceRecord(service.customer_, service.service_, sliceCount) : readServiceRecord(current);
        if (!present || (current.version_ > 0 && !isChanged(*present))) {
            return std::nullopt;
        }
        return encode(present->withServers(wanted, note));
    };
    changer_.submit(std::move(change), now);
}

void OwnershipManager::proposeDispatchers(const ServiceKey &service, const ServiceRecord &record, Now now)
{
    // An entry may name an incarnation that is no known member, because it was removed or because the local member record is older than
    // the entry. Only a read of the member record that began after the entry was seen distinguishes the two cases.
    const ClusterRecord &cluster = context_.catalog().cluster();
    std::set<Incarnation> orphaned{Incarnation()};
    for (const ServerEntry &entry : record.servers()) {
        if (entry.dispatcher_.isEmpty() || cluster.find(entry.dispatcher_)) {
            continue;
        }
        const TimePoint since = unknownSince_.try_emplace(entry.dispatcher_, now.monotonic_).first->second;
        if (clusterReadAt_ > since) {
            orphaned.insert(entry.dispatcher_);
        } else {
            isClusterReadNeeded_ = true;
        }
    }
    std::erase_if(unknownSince_, [&](const auto &unknown) {
        return cluster.find(unknown.first) != nullptr;
    });
    const bool hasOrphan = std::any_of(record.servers().begin(), record.servers().end(), [&](const ServerEntry &entry) {
        return orphaned.contains(entry.dispatcher_);
    });
    if (!hasOrphan) {
        return;
    }
    RecordChange change = makeServiceChange(service, "dispatchers", context_.self().toString(), "servers without dispatcher");
    change.compute_ = [this, orphaned](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto present = readServiceRecord(current);
        if (!present) {
            return std::nullopt;
        }
        std::vector<ServerId> servers;
        for (const ServerEntry &entry : present->servers()) {
            if (orphaned.contains(entry.dispatcher_)) {
                servers.push_back(entry.server_);
            }
        }
        const std::vector<ServerEntry> chosen = chooseDispatchers(context_.catalog(), servers);
        return chosen.empty() ? std::nullopt : std::optional(encode(present->withDispatchers(chosen, note)));
    };
    changer_.submit(std::move(change), now);
}

void OwnershipManager::proposeOwners(const ServiceKey &service, const ServiceConfiguration &configuration, const ServiceRecord &record, Now now)
{
    if (configuration.kind_ != ServiceKind::Keyed || planUnownedSlices(record, eligibleServers(service, record)).empty()) {
        return;
    }
    RecordChange change = makeServiceChange(service, "owners", context_.self().toString(), "slices without owner");
    change.compute_ = [this, service](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto present = readServiceRecord(current);
        if (!present) {
            return std::nullopt;
        }
        const std::vector<SliceMove> moves = planUnownedSlices(*present, eligibleServers(service, *present));
        return moves.empty() ? std::nullopt : std::optional(encode(present->withMoves(moves, note)));
    };
    changer_.submit(std::move(change), now);
}

std::vector<ServerId> OwnershipManager::eligibleServers(const ServiceKey &service, const ServiceRecord &record) const
{
    std::vector<ServerId> eligible;
    const CustomerConfiguration *customer = context_.catalog().findCustomer(service.customer_);
    const ServiceConfiguration *configuration = context_.catalog().findConfiguration(service);
    if (!configuration) {
        return eligible;
    }
    const auto lost = lostServers_.find(service);
    for (const ServerEntry &entry : record.servers()) {
        const ServerConfiguration *server = configuration->findServer(entry.server_);
        const bool isLost = lost != lostServers_.end() && lost->second.contains(entry.server_);
        if (server && customer->isServing(*server) && !entry.dispatcher_.isEmpty() && !isLost) {
            eligible.push_back(entry.server_);
        }
    }
    return eligible;
}

void OwnershipManager::evacuateServers(const ServiceKey &service, const ServiceConfiguration *configuration, const ServiceRecord &record)
{
    const CustomerConfiguration *customer = context_.catalog().findCustomer(service.customer_);
    for (const ServerEntry &entry : record.servers()) {
        if (entry.dispatcher_ != context_.self()) {
            continue;
        }
        const ServerConfiguration *server = configuration ? configuration->findServer(entry.server_) : nullptr;
        const bool isLost = dataPlane_.isLost_({service, entry.server_});
        if (isLost) {
            lostServers_[service].insert(entry.server_);
        } else {
            lostServers_[service].erase(entry.server_);
        }
        const bool isServing = server && customer->isServing(*server) && !isLost;
        if (!isServing && !handovers_.contains({service, entry.server_})) {
            startMoves(service, record, planEvacuation(record, entry.server_, eligibleServers(service, record), context_.settings().moveBatch_));
        }
    }
}

void OwnershipManager::startMoves(const ServiceKey &service, const ServiceRecord &record, const std::vector<SliceMove> &moves)
{
    for (const SliceMove &move : moves) {
        // A key without an entry of its own is closed together with its slice, because its requests are routed by the slice.
        const KeyRange closed = record.effectiveRange(move.range_);
        if (closed_.ranges_[service].insert(closed).second) {
            moves_[service].push_back({move, closed});
            ++generation_;
        }
    }
}

bool OwnershipManager::mayMove(const ServiceRecord &record, const SliceMove &move) const
{
    const ServerEntry *owner = record.ownerOf(record.effectiveRange(move.range_));
    return owner && owner->server_ == move.from_ && owner->dispatcher_ == context_.self();
}

void OwnershipManager::endMoves(const ServiceKey &service, const std::function<bool(const PendingMove &move)> &isOver)
{
    std::vector<PendingMove> &moves = moves_[service];
    std::erase_if(moves, [&](const PendingMove &pending) {
        const bool hasEnded = isOver(pending);
        if (hasEnded) {
            closed_.ranges_[service].erase(pending.closed_);
            ++generation_;
        }
        return hasEnded;
    });
}

void OwnershipManager::finishMoves(Now now)
{
    std::vector<ServiceKey> services;
    for (const auto &[service, moves] : moves_) {
        services.push_back(service);
    }
    for (const ServiceKey &service : services) {
        if (moves_[service].empty() || changer_.isPending("moves/" + serviceKey(service))) {
            continue;
        }
        // 1. Discard moves that are complete or whose range this instance no longer dispatches for.
        const auto record = context_.catalog().findService(service);
        endMoves(service, [&](const PendingMove &pending) {
            return !record || !mayMove(*record, pending.move_) || record->effectiveRange(pending.move_.range_) != pending.closed_;
        });
        // 2. Submit all drained moves in one change.
        std::vector<PendingMove> drained;
        for (const PendingMove &pending : moves_[service]) {
            if (dataPlane_.isDrained_({service, pending.move_.from_}, pending.closed_)) {
                drained.push_back(pending);
            }
        }
        if (!drained.empty()) {
            submitMoves(service, drained, now);
        }
    }
}

void OwnershipManager::submitMoves(const ServiceKey &service, const std::vector<PendingMove> &moves, Now now)
{
    RecordChange change = makeServiceChange(service, "moves", context_.self().toString(), "moved from " + moves.front().move_.from_.value_);
    change.retryMode_ = RetryMode::OneAttempt;
    change.compute_ = [this, service, moves](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto present = readServiceRecord(current);
        if (!present) {
            return std::nullopt;
        }
        // Only the dispatcher of the source server may move its ranges, so this is checked against the version that is replaced.
        const std::vector<ServerId> eligible = eligibleServers(service, *present);
        std::vector<SliceMove> valid;
        for (const PendingMove &pending : moves) {
            const bool isTargetEligible = std::find(eligible.begin(), eligible.end(), pending.move_.to_) != eligible.end();
            const bool isClosed = present->effectiveRange(pending.move_.range_) == pending.closed_;
            if (mayMove(*present, pending.move_) && isTargetEligible && isClosed) {
                valid.push_back(pending.move_);
            }
        }
        if (valid.empty()) {
            return std::nullopt;
        }
        const ServiceRecord next = present->withMoves(valid, note);
        transferHistories(service, *present, next, valid, note.id_);
        return encode(next);
    };
    change.completed_ = [this, service, moves](const ChangeReport &report) {
        // A rejected change can never take effect, so its ranges are reopened. They are planned again if still needed.
        if (report.outcome_ == ChangeOutcome::Rejected) {
            endMoves(service, [&](const PendingMove &pending) {
                return std::find(moves.begin(), moves.end(), pending) != moves.end();
            });
        }
    };
    changer_.submit(std::move(change), now);
}

void OwnershipManager::transferHistories(
    const ServiceKey &service, const ServiceRecord &before, const ServiceRecord &after, const std::vector<SliceMove> &moves, const ChangeId &change)
{
    for (const SliceMove &move : moves) {
        const ServerEntry *target = before.findServer(move.to_);
        const Member *member = target ? context_.catalog().cluster().find(target->dispatcher_) : nullptr;
        if (member) {
            const RangeTransfer range{before.effectiveRange(move.range_), after.effectiveRange(move.range_)};
            context_.addAction(TransferHistory{member->address_, service, move.from_, move.to_, change, {range}});
        }
    }
}

std::vector<ServerKey> OwnershipManager::ownServers() const
{
    std::vector<ServerKey> own;
    for (const auto &[service, record] : context_.catalog().services()) {
        for (const ServerEntry &entry : record->servers()) {
            if (entry.dispatcher_ == context_.self()) {
                own.push_back({service, entry.server_});
            }
        }
    }
    return own;
}

bool OwnershipManager::isIdle() const
{
    return ownServers().empty();
}

std::optional<Incarnation> OwnershipManager::chooseSuccessor(const ServerKey &server) const
{
    std::map<Incarnation, std::size_t> counts;
    for (const auto &[service, record] : context_.catalog().services()) {
        for (const ServerEntry &entry : record->servers()) {
            ++counts[entry.dispatcher_];
        }
    }
    std::optional<Incarnation> best;
    for (const Incarnation &candidate : rendezvousOrder(context_.catalog().cluster(), server.server_.value_)) {
        if (candidate != context_.self() && (!best || counts[candidate] < counts[*best])) {
            best = candidate;
        }
    }
    return best;
}

void OwnershipManager::startHandovers(Participation participation)
{
    // A server that is closed for a handover gets no requests until the store has responded, so no handover starts while the store is
    // unavailable.
    if (context_.isStoreFailing()) {
        return;
    }
    const std::vector<ServerKey> own = ownServers();
    const auto start = [&](const ServerKey &server) {
        const auto successor = chooseSuccessor(server);
        if (successor && !handovers_.contains(server)) {
            handovers_.emplace(server, *successor);
            closed_.servers_.insert(server);
            ++generation_;
        }
    };
    if (participation == Participation::Leaving) {
        std::for_each(own.begin(), own.end(), start);
        return;
    }
    // A member that exceeds its share hands over one server at a time to the member with the fewest servers.
    std::size_t total = 0;
    std::map<Incarnation, std::size_t> counts;
    for (const Member &member : context_.catalog().cluster().liveMembers()) {
        counts[member.incarnation_] = 0;
    }
    for (const auto &[service, record] : context_.catalog().services()) {
        total += record->servers().size();
        for (const ServerEntry &entry : record->servers()) {
            ++counts[entry.dispatcher_];
        }
    }
    if (!handovers_.empty() || counts.size() < 2 || own.empty() || !moves_.empty()) {
        return;
    }
    const auto fewest = std::min_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    const std::size_t mean = total / counts.size();
    if (own.size() > mean + HandoverSlack && fewest->second < mean) {
        start(own[context_.random()() % own.size()]);
    }
}

void OwnershipManager::finishHandovers(Now now)
{
    std::vector<ServerKey> done;
    const std::map<ServerKey, Incarnation> handovers = handovers_;
    for (const auto &[server, successor] : handovers) {
        const std::string tag = "handover/" + server.server_.value_ + "/" + serviceKey(server.service_);
        if (changer_.isPending(tag)) {
            continue;
        }
        const auto record = context_.catalog().findService(server.service_);
        const bool isSuccessorLive = context_.catalog().cluster().isLive(successor);
        if (!record || !isDispatcherOf(*record, server.server_) || !isSuccessorLive) {
            done.push_back(server);
            continue;
        }
        if (!dataPlane_.isDrained_(server, std::nullopt)) {
            continue;
        }
        RecordChange change = makeServiceChange(server.service_, "handover/" + server.server_.value_, context_.self().toString(), "handover");
        change.retryMode_ = RetryMode::OneAttempt;
        change.completed_ = [this, server = server](const ChangeReport &report) {
            if (report.outcome_ == ChangeOutcome::Rejected) {
                endHandover(server);
            }
        };
        change.compute_ = [this, server = server, successor = successor](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
            const auto present = readServiceRecord(current);
            const Member *member = context_.catalog().cluster().find(successor);
            if (!present || !member || !isDispatcherOf(*present, server.server_)) {
                return std::nullopt;
            }
            std::vector<RangeTransfer> ranges;
            for (const KeyRange &range : present->rangesOf(server.server_)) {
                ranges.push_back({range, range});
            }
            // The request history of shared services is kept under the range of the whole service.
            ranges.push_back({});
            context_.addAction(TransferHistory{member->address_, server.service_, server.server_, server.server_, note.id_, std::move(ranges)});
            return encode(present->withDispatcher(server.server_, successor, note));
        };
        changer_.submit(std::move(change), now);
    }
    std::for_each(done.begin(), done.end(), [this](const ServerKey &server) {
        endHandover(server);
    });
}

void OwnershipManager::endHandover(const ServerKey &server)
{
    handovers_.erase(server);
    closed_.servers_.erase(server);
    ++generation_;
}

bool OwnershipManager::isDispatcherOf(const ServiceRecord &record, const ServerId &server) const
{
    const ServerEntry *entry = record.findServer(server);
    return entry && entry->dispatcher_ == context_.self();
}

void OwnershipManager::reportLoads(Now now)
{
    if (now.monotonic_ < nextLoadReport_) {
        return;
    }
    nextLoadReport_ = now.monotonic_ + context_.settings().loadInterval_;
    for (const auto &[service, loads] : ownLoads_) {
        const Incarnation &balancer = context_.dutyHolder(serviceKey(service));
        if (!loads.empty() && !balancer.isEmpty()) {
            context_.send(balancer, LoadReport{service, loads});
        }
    }
}

void OwnershipManager::handleLoadReport(const Incarnation &from, const LoadReport &report, Now now)
{
    const auto record = context_.catalog().findService(report.service_);
    for (const ServerLoad &load : report.loads_) {
        const ServerEntry *entry = record ? record->findServer(load.server_) : nullptr;
        if (entry && entry->dispatcher_ == from) {
            receivedLoads_[report.service_][load.server_] = {load, now.monotonic_};
        }
    }
}

void OwnershipManager::balance(const ServiceKey &service, const ServiceConfiguration &, const ServiceRecord &record, Now now)
{
    if (context_.dutyHolder(serviceKey(service)) != context_.self() || now.monotonic_ < nextBalance_[service]) {
        return;
    }
    nextBalance_[service] = now.monotonic_ + context_.settings().loadInterval_ * 2;
    // 1. Move slices to servers that own none, because they are new or have returned.
    const std::vector<ServerId> eligible = eligibleServers(service, record);
    if (eligible.size() < 2) {
        return;
    }
    std::vector<SliceMove> moves = planEvenSlices(record, eligible, context_.settings().moveBatch_);
    // 2. Otherwise move ranges away from overloaded servers.
    if (moves.empty()) {
        std::vector<ServerLoad> loads;
        for (const auto &[server, received] : receivedLoads_[service]) {
            if (now.monotonic_ - received.receivedAt_ < context_.settings().loadInterval_ * StaleLoadIntervals) {
                loads.push_back(received.load_);
            }
        }
        // A server without a report would count as idle, so balancing needs a report of every server.
        if (loads.size() >= eligible.size()) {
            moves = planBalance(record, eligible, loads, context_.settings().balance_);
        }
    }
    // 3. Send the moves to the dispatchers of the source servers.
    std::map<Incarnation, std::vector<SliceMove>> requests;
    for (const SliceMove &move : moves) {
        requests[record.findServer(move.from_)->dispatcher_].push_back(move);
    }
    for (auto &[dispatcher, requested] : requests) {
        context_.send(dispatcher, MoveRequest{service, std::move(requested)});
    }
}

void OwnershipManager::handleMoveRequest(const MoveRequest &request)
{
    const auto record = context_.catalog().findService(request.service_);
    // Balancing can be deferred: a range that is closed for a move gets no requests until the store has responded.
    if (!record || context_.isStoreFailing()) {
        return;
    }
    std::vector<SliceMove> valid;
    for (const SliceMove &move : request.moves_) {
        const bool hasRoom = move.range_.hotKey_.empty() || record->hotKeys().size() < ServiceRecord::MaxHotKeys;
        if (mayMove(*record, move) && hasRoom && record->findServer(move.to_)) {
            valid.push_back(move);
        }
    }
    startMoves(request.service_, *record, valid);
}

} // namespace Goldcrestwall
