// Writes of the assignment and the grant and release calls of a sharded service.
#include "ShardService.h"

#include "Tasks.h"

namespace Goldcrestwall::Gateway {

using Platform::StoreOutcome;

namespace {

constexpr Duration GrantTimeout = 700ms;
constexpr Duration ShardCallConnectTimeout = 300ms;
// A server responds to a release only after its work on the keys has completed.
constexpr Duration ReleaseTimeout = 2500ms;
constexpr Duration GrantMaxIdle = 4s;
// The response to a release allows its keys to be granted to another server, and it carries no request id. On a reused connection, a
// duplicate of an earlier response could be mistaken for it, so every release gets a new connection.
constexpr Duration ReleaseMaxIdle = 0s;
constexpr Duration PlanInterval = 100ms;
constexpr Duration ReloadInterval = 500ms;

const char *orderOutcomeName(ShardCallOutcome outcome)
{
    switch (outcome) {
    case ShardCallOutcome::Accepted:
        return "accepted";
    case ShardCallOutcome::Refused:
        return "refused";
    case ShardCallOutcome::Unanswered:
        return "unanswered";
    case ShardCallOutcome::NotSent:
        return "not-sent";
    }
    return "unknown";
}

// Makes the log line for a completed grant or release that was sent at `sentAt`.
template<typename Call>
LogLine describeShardCall(
    const char *event, const std::string &service, const Call &call, ShardCallOutcome outcome, const ExchangeResult &result, TimePoint sentAt, TimePoint now)
{
    LogLine line(event);
    line.add("service", service).add("server", call.holder_.server_).add("first", call.first_).add("last", call.last_);
    line.add("token", call.holder_.token_).add("outcome", orderOutcomeName(outcome)).addDuration("sentBeforeMs", now - sentAt);
    line.add("newConnection", result.isNewConnection_).add("connection", result.connection_).add("exchangesOnConnection", result.exchangesOnConnection_);
    return line;
}

} // namespace

ShardService::ShardService(asio::io_context &loop,
                           std::string service,
                           GrantTimings timings,
                           bool isFirstStart,
                           const StoreView &view,
                           Platform::PlatformStore &store,
                           HttpClient &client,
                           PlacementService &placement,
                           AnnouncementRecorder &announcements,
                           const StoreLink &storeLink,
                           std::string instance,
                           EventLog &log)
    : loop_(loop)
    , service_(std::move(service))
    , timings_(timings)
    , isFirstStart_(isFirstStart)
    , view_(view)
    , store_(store)
    , client_(client)
    , placement_(placement)
    , announcements_(announcements)
    , storeLink_(storeLink)
    , instance_(std::move(instance))
    , log_(log)
{
}

void ShardService::cancelCalls()
{
    grantsUntil_ = TimePoint();
    const auto calls = calls_;
    for (const auto &call : calls) {
        call->cancel();
    }
}

void ShardService::endRight(TimePoint now)
{
    rightUntil_ = TimePoint();
    grantedUntil_ = std::min(grantedUntil_, now);
    cancelCalls();
}

void ShardService::stop()
{
    isStopped_ = true;
    rightUntil_ = TimePoint();
    cancelCalls();
    if (auto *pool = placement_.pool(service_)) {
        pool->setPendingRanges({});
    }
}

std::vector<std::string> ShardService::standbys() const
{
    auto standbys = unconfirmedStandbys_;
    if (granter_) {
        const auto &stored = granter_->assignment().granter_.standbys_;
        standbys.insert(standbys.end(), stored.begin(), stored.end());
    }
    return standbys;
}

bool ShardService::isAssignmentOfEra() const
{
    return granter_ && granter_->assignment().era_ == view_.at().era_;
}

void ShardService::updateGrantsUntil(TimePoint now)
{
    grantsUntil_ = isAssignmentOfEra() ? rightUntil_ : std::min(rightUntil_, grantedUntil_);
    grantedUntil_ = grantsUntil_ > now ? grantsUntil_ : std::max(grantsUntil_, std::min(grantedUntil_, now));
}

EarlierEras ShardService::earlierEras() const
{
    EarlierEras earlier;
    earlier.eraSeenAt_ = view_.eraSeenAt();
    earlier.knowsAllOthers_ = view_.knowsAllEraMembers();
    for (const auto &[name, member] : view_.eraMembers()) {
        if (name != instance_) {
            earlier.othersSeenAt_.push_back(member.seenAt_);
        }
    }
    return earlier;
}

bool ShardService::isOwnAssignment(const AssignmentEntry *entry) const
{
    return entry != nullptr && entry->isStored_ && isLastGranter(instance_, &entry->assignment_) && entry->version_ == storedVersion_;
}

void ShardService::logStart(const char *knowledge, TimePoint now)
{
    const auto *coordinator = view_.coordinator(service_);
    const auto *entry = view_.assignment(service_);
    LogLine line("granter-started");
    line.add("service", service_).add("knowledge", knowledge).add("coordinatorVersion", coordinatorVersion_).add("assignmentVersion", storedVersion_);
    line.add("predecessor", entry == nullptr ? std::string() : entry->assignment_.granter_.instance_);
    line.add("predecessorYielded", coordinator != nullptr && coordinator->hasPredecessorYielded_);
    line.addDuration("earlierStopInMs", granter_->earlierGrantersStopAt() - now);
    line.addDuration("holdersUnknownForMs", std::max(Duration::zero(), granter_->holdersUnknownUntil() - now));
    if (isFirstOfEra_) {
        line.add("instancesNotSeenInEra", earlierEras().unseenCount()).addDuration("eraSeenBeforeMs", now - view_.eraSeenAt());
    }
    log_.write(line, LogImportance::State, now);
}

void ShardService::create(const std::optional<ShardAssignment> &stored, TimePoint seenAt, TimePoint now)
{
    const auto *coordinator = view_.coordinator(service_);
    const bool hasYielded = coordinator != nullptr && coordinator->hasPredecessorYielded_;
    const Successor self{instance_, storeLink_.claimsWithheldUntil(), hasYielded, seenAt};
    const GranterRecord predecessor = stored ? stored->granter_ : GranterRecord();
    TimePoint stopAt = stored ? earlierGrantersStopAt(predecessor, self, now) : now;
    if (granter_) {
        stopAt = std::max(stopAt, granter_->earlierGrantersStopAt());
    }
    cancelCalls();
    isFirstOfEra_ = false;
    granter_.emplace(timings_, stored, now, stopAt);
    if (!stored) {
        granter_->beginEra(coordinatorVersion_.era_, now);
    }
    if (predecessor.holdersUnknownWithin_ > Duration::zero()) {
        granter_->forgetHolders(seenAt + predecessor.holdersUnknownWithin_ - timings_.longestLifetime());
    }
    logStart("stored", now);
}

void ShardService::takeOver(const AssignmentEntry *entry, TimePoint now)
{
    if (entry == nullptr) {
        create(std::nullopt, now, now);
    } else {
        create(entry->assignment_, entry->seenAt_, now);
    }
}

void ShardService::beginEra(const AssignmentEntry *entry, StoreEra era, Adoption adoption, TimePoint now)
{
    isFirstOfEra_ = true;
    const TimePoint stopAt = earlierErasStopAt(earlierEras());
    if (adoption == Adoption::Continue) {
        granter_->beginEra(era, now);
        granter_->setEarlierErasStopAt(stopAt);
        logStart("own", now);
        return;
    }
    cancelCalls();
    grantedUntil_ = TimePoint();
    granter_.emplace(timings_, entry == nullptr ? std::nullopt : std::make_optional(entry->assignment_), now);
    granter_->beginEra(era, now);
    granter_->forgetHolders(stopAt);
    logStart("none", now);
}

void ShardService::adoptAssignment(const CoordinatorEntry &coordinator, TimePoint now)
{
    if (isWriting_ || isReloading_ || hasAdopted(&coordinator)) {
        return;
    }
    const auto *entry = view_.assignment(service_);
    Adopter adopter;
    adopter.era_ = coordinator.writtenAt_.era_;
    adopter.assignmentEra_ = entry == nullptr ? std::nullopt : std::make_optional(entry->assignment_.era_);
    adopter.isOwnAssignment_ = isOwnAssignment(entry);
    adopter.hasGranter_ = granter_.has_value();
    adopter.grantedUntil_ = grantedUntil_;
    adopter.isFirstStart_ = isFirstStart_ && !view_.hasKnownEarlierEra();
    const auto adoption = adoptionOf(adopter, timings_.longestLifetime(), earlierEras(), now);
    if (adoption == Adoption::Undecided) {
        return;
    }
    coordinatorVersion_ = coordinator.writtenAt_;
    if (adoption == Adoption::Keep) {
        return;
    }
    storedVersion_ = entry == nullptr ? view_.missingVersion() : entry->version_;
    if (adoption == Adoption::TakeOver) {
        takeOver(entry, now);
    } else {
        beginEra(entry, coordinator.writtenAt_.era_, adoption, now);
    }
}

void ShardService::repairAssignment()
{
    const auto *entry = view_.assignment(service_);
    const bool isReplaced = entry != nullptr && !entry->isStored_ && entry->version_ > storedVersion_ && isAssignmentOfEra();
    if (isReplaced) {
        storedVersion_ = entry->version_;
        granter_->writeAgain();
    }
}

bool ShardService::hasAdopted(const CoordinatorEntry *coordinator) const
{
    return granter_ && coordinator != nullptr && coordinator->writtenAt_ == coordinatorVersion_;
}

bool ShardService::mayRenew(const CoordinatorEntry *coordinator) const
{
    if (!granter_) {
        return false;
    }
    // Another instance may have granted since. While the outcome of a write or of a claim in a new era is unknown, the last assignment shows whether one has.
    const auto *stored = view_.assignment(service_);
    const bool isLast = isLastGranter(instance_, stored == nullptr ? nullptr : &stored->assignment_);
    const bool isInDoubt = isWriting_ || isReloading_ || !isAssignmentOfEra();
    return coordinator == nullptr || hasAdopted(coordinator) || (isInDoubt && isLast);
}

std::string ShardService::addressOf(const std::string &server)
{
    if (const auto *description = view_.server(server)) {
        addresses_[server] = description->address_;
    }
    return addresses_[server];
}

void ShardService::run(TimePoint rightUntil, bool mayMove, TimePoint now)
{
    rightUntil_ = isStopped_ ? TimePoint() : rightUntil;
    const auto *coordinator = view_.coordinator(service_);
    const bool hasRight = now < rightUntil_ && placement_.pool(service_) != nullptr;
    if (hasRight && coordinator != nullptr && coordinator->isStored()) {
        adoptAssignment(*coordinator, now);
    }
    updateGrantsUntil(now);
    logGranting(now);
    if (!hasRight || !mayRenew(coordinator)) {
        return;
    }
    const bool isStored = coordinator != nullptr && coordinator->isStored() && hasAdopted(coordinator);
    if (isStored && isFirstOfEra_) {
        granter_->setEarlierErasStopAt(earlierErasStopAt(earlierEras()));
        isFirstOfEra_ = now < granter_->earlierGrantersStopAt() + timings_.longestLifetime();
    }
    // While the outcome of a write is unknown, the previous assignment continues to be renewed; the new one is not yet in use.
    if (mayMove && isStored && !isWriting_ && !isReloading_ && now - plannedAt_ >= PlanInterval) {
        repairAssignment();
        planAssignment(now);
    }
    if (now < grantsUntil_) {
        sendCalls(now);
    }
    publishAssignment(now);
}

void ShardService::sendCalls(TimePoint now)
{
    for (auto &call : granter_->takeReleases(now)) {
        spawn(loop_, log_, "release", [self = shared_from_this(), call] {
            return self->sendRelease(call);
        });
    }
    for (auto &call : granter_->takeGrants(now)) {
        spawn(loop_, log_, "grant", [self = shared_from_this(), call] {
            return self->sendGrant(call);
        });
    }
}

void ShardService::logGranting(TimePoint now)
{
    const bool isGranting = now < grantsUntil_;
    if (isGranting != isGranting_) {
        isGranting_ = isGranting;
        const char *event = isGranting ? "granting" : "granting-ended";
        log_.write(
            LogLine(event).add("service", service_).add("coordinatorVersion", coordinatorVersion_).add("storeVersion", view_.at()), LogImportance::State, now);
    }
}

void ShardService::planAssignment(TimePoint now)
{
    plannedAt_ = now;
    const auto present = granter_->assignment().granter_.standbys_;
    granter_->setGranter(instance_, chooseStandbys(service_, instance_, present, view_.instances()));
    auto next = granter_->plan(placement_.pool(service_)->serverLoads(now), *placement_.keyLoad(service_), now);
    if (!next) {
        return;
    }
    isWriting_ = true;
    unconfirmedStandbys_ = next->granter_.standbys_;
    spawn(loop_, log_, "write-assignment", [self = shared_from_this(), assignment = std::move(*next)] {
        return self->writeAssignment(assignment);
    });
}

void ShardService::publishAssignment(TimePoint now)
{
    if (auto *pool = placement_.pool(service_); pool != nullptr && granter_ && !isStopped_) {
        pool->setAssignment(granter_->assignment());
        pool->setPendingRanges(granter_->pendingRanges(now));
        placement_.scheduleDecision(service_);
    }
}

Task<void> ShardService::writeAssignment(ShardAssignment assignment)
{
    Platform::StoreWrite write;
    write.conditions_.push_back({assignmentKey(service_), storedVersion_});
    write.conditions_.push_back({coordinatorKey(service_), coordinatorVersion_});
    write.puts_.push_back({assignmentKey(service_), encodeAssignment(assignment), {}, {}});
    const auto commit = co_await store_.commit(std::move(write));
    const TimePoint now = bootNow();
    log_.write(LogLine("assignment-written")
                   .add("service", service_)
                   .add("outcome", Platform::storeOutcomeName(commit.outcome_))
                   .add("assignmentVersion", commit.version_)
                   .add("ranges", assignment.ranges_.size()),
               LogImportance::State,
               now);
    isWriting_ = false;
    if (isStopped_) {
        co_return;
    }
    if (commit.outcome_ == StoreOutcome::Done) {
        recordWritten(std::move(assignment), commit.version_, now);
        co_return;
    }
    const bool isCertain = commit.outcome_ == StoreOutcome::Refused || commit.outcome_ == StoreOutcome::Unreachable;
    if (!isCertain) {
        co_await reload(std::move(assignment));
    }
}

void ShardService::recordWritten(ShardAssignment assignment, StoreVersion version, TimePoint now)
{
    storedVersion_ = version;
    unconfirmedStandbys_.clear();
    granter_->recordStored(std::move(assignment), now);
    run(rightUntil_, false, now);
}

Task<void> ShardService::reload(ShardAssignment written)
{
    // The write may have been applied, or may still be applied while its condition holds. The stored value decides. Once the next write
    // is applied, the earlier write's condition fails. Only if another value is stored may another instance have granted.
    isReloading_ = true;
    for (;;) {
        co_await sleepFor(loop_, ReloadInterval);
        if (isStopped_) {
            co_return;
        }
        const auto page = co_await store_.readRange(assignmentKey(service_), "");
        if (isStopped_) {
            co_return;
        }
        if (page.outcome_ != StoreOutcome::Done) {
            continue;
        }
        const TimePoint now = bootNow();
        const auto item = std::ranges::find(page.items_, assignmentKey(service_), &Platform::StoreItem::key_);
        const auto version = item == page.items_.end() ? StoreVersion(page.at_.era_, 0) : item->version_;
        isReloading_ = false;
        if (version.era_ != storedVersion_.era_) {
            // What was written in an earlier era is not granted by: the claim in this one decides.
            co_return;
        }
        if (version == storedVersion_) {
            // Nobody else can have granted since, and the write has no effect yet.
            co_return;
        }
        if (item != page.items_.end() && item->value_ == encodeAssignment(written)) {
            recordWritten(std::move(written), version, now);
            co_return;
        }
        const auto stored = item == page.items_.end() ? std::nullopt : decodeAssignment(item->value_);
        storedVersion_ = version;
        unconfirmedStandbys_.clear();
        const bool isOfEra = version.era_ == 0 || (stored && stored->era_ == version.era_);
        if (isOfEra) {
            create(stored, now, now);
        } else {
            // A write of an earlier era was executed late. Nobody has granted by it.
            granter_->writeAgain();
        }
        co_return;
    }
}

Task<ExchangeResult> ShardService::sendShardCall(std::string address, HttpRequest request, ExchangeOptions options)
{
    if (address.empty() || bootNow() >= grantsUntil_) {
        co_return ExchangeResult();
    }
    options.connectTimeout_ = ShardCallConnectTimeout;
    const auto handle = std::make_shared<ExchangeHandle>();
    calls_.insert(handle);
    auto result = co_await client_.exchange(address, request, options, handle);
    calls_.erase(handle);
    co_return result;
}

void ShardService::recordAnnouncement(const ShardHolder &holder, const ExchangeResult &result, TimePoint sentAt, TimePoint now)
{
    if (result.outcome_ == ExchangeOutcome::Answered) {
        announcements_.record({holder.server_, holder.startTime_}, result.response_, sentAt, now);
    }
}

Task<void> ShardService::sendGrant(GrantCall call)
{
    const TimePoint sentAt = bootNow();
    const std::string address = addressOf(call.holder_.server_);
    ExchangeOptions options;
    // A call that waits for its connection must not leave once a successor may rely on this instance having stopped.
    options.timeout_ = std::min(GrantTimeout, grantsUntil_ - sentAt);
    options.maxIdle_ = GrantMaxIdle;
    const auto result = co_await sendShardCall(address, Platform::makeGrantRequest(address, call), options);
    const TimePoint now = bootNow();
    const auto outcome = Platform::readShardCallOutcome(result);
    recordAnnouncement(call.holder_, result, sentAt, now);
    if (outcome != ShardCallOutcome::Accepted) {
        if (auto *pool = placement_.pool(service_); pool != nullptr && outcome != ShardCallOutcome::Refused) {
            pool->recordShardCallFailure(call.holder_.server_, now);
        }
    }
    const bool isRecorded = granter_ && !isStopped_;
    const GrantEffect effect = isRecorded ? granter_->recordGrantResult(call, sentAt, outcome, now) : GrantEffect{now, false};
    logGrant(call, outcome, result, effect, sentAt, now);
    if (isRecorded) {
        publishAssignment(now);
    }
}

void ShardService::logGrant(
    const GrantCall &call, ShardCallOutcome outcome, const ExchangeResult &result, const GrantEffect &effect, TimePoint sentAt, TimePoint now)
{
    const bool isAccepted = outcome == ShardCallOutcome::Accepted;
    if (isAccepted && !effect.isFirst_) {
        return;
    }
    auto line = describeShardCall(isAccepted ? "keys-granted" : "grant-failed", service_, call, outcome, result, sentAt, now);
    line.add("assignmentVersion", storedVersion_).addDuration("countedForMs", effect.expiresAt_ - now);
    log_.write(line, LogImportance::Kept, now);
}

Task<void> ShardService::sendRelease(ReleaseCall call)
{
    const TimePoint sentAt = bootNow();
    const std::string address = addressOf(call.holder_.server_);
    ExchangeOptions options;
    options.timeout_ = ReleaseTimeout;
    options.maxIdle_ = ReleaseMaxIdle;
    const auto result = co_await sendShardCall(address, Platform::makeReleaseRequest(address, call), options);
    const TimePoint now = bootNow();
    const auto outcome = Platform::readShardCallOutcome(result);
    recordAnnouncement(call.holder_, result, sentAt, now);
    const std::string handover = outcome == ShardCallOutcome::Accepted ? Platform::readHandover(result.response_) : std::string();
    auto line = describeShardCall("keys-released", service_, call, outcome, result, sentAt, now);
    line.add("releaseToken", call.token_).add("assignmentVersion", storedVersion_);
    if (granter_) {
        const auto remainder = granter_->unansweredGrants(call.holder_, call.first_, call.last_, now);
        line.add("unansweredGrants", remainder.unanswered_);
        line.addDuration("countedForMs", remainder.unanswered_ > 0 ? std::make_optional(remainder.expiresAt_ - now) : std::nullopt);
    }
    log_.write(line, LogImportance::Kept, now);
    if (granter_ && !isStopped_) {
        granter_->recordReleaseResult(call, outcome, handover, now);
        run(rightUntil_, false, now);
    }
}

} // namespace Goldcrestwall::Gateway
