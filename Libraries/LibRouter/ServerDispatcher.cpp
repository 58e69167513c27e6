// Server dispatcher: checks of rights and duplicates, admission, results of attempts and handover of state.
#include <LibRouter/ServerDispatcher.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// The range used in the history for requests to shared services.
const KeyRange WholeService{};

KeyRange historyRange(const DispatchRequest &request)
{
    return request.range_.value_or(WholeService);
}

bool mustRunOnce(const DispatchRequest &request)
{
    return request.idempotence_ == Idempotence::NotIdempotent && !request.id_.isEmpty();
}

SlotOutcome slotOutcomeOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
        return SlotOutcome::Succeeded;
    case AttemptResult::Shed:
        return SlotOutcome::Shed;
    case AttemptResult::Lost:
    case AttemptResult::Truncated:
        return SlotOutcome::Unresolved;
    default:
        return SlotOutcome::Ended;
    }
}

} // namespace

Verdict verdictOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
    case AttemptResult::Failed:
        return Verdict::ran(RouterError::ServerFailed);
    case AttemptResult::Shed:
        return Verdict::notRun(RouterError::ServerShedding);
    case AttemptResult::StaleToken:
        return Verdict::notRun(RouterError::StaleToken);
    case AttemptResult::Draining:
        return Verdict::notRun(RouterError::ServerDraining);
    case AttemptResult::Late:
    case AttemptResult::Cancelled:
        return Verdict::notRun(RouterError::DeadlineExceeded);
    case AttemptResult::NotWritten:
        return Verdict::notRun(RouterError::ServerUnreachable);
    case AttemptResult::Truncated:
        return Verdict::ran(RouterError::AnswerTruncated);
    case AttemptResult::Lost:
        return Verdict::mayHaveRun(RouterError::ConnectionLost);
    }
    return Verdict::mayHaveRun(RouterError::ConnectionLost);
}

GateLimits limitsOf(const ServiceConfiguration &service, const ServerConfiguration &server)
{
    const ColdStartSettings coldStart{server.coldSlots_, server.slots_, server.warmupRequests_};
    return {coldStart, service.queueLength_, std::chrono::milliseconds(service.queueMilliseconds_), service.maxExecution()};
}

ServerDispatcher::ServerDispatcher(ServerKey server, const ServiceConfiguration &service, const ServerConfiguration &configuration, Now now)
    : server_(std::move(server))
    , limits_(limitsOf(service, configuration))
    , tokenChecking_(configuration.tokenChecking_)
    , gate_(limits_, now.monotonic_)
    , health_({}, now.monotonic_)
    , load_(now.monotonic_)
{
}

void ServerDispatcher::update(const ServiceConfiguration &service, const ServerConfiguration &configuration, const ServiceRecord &record, Now now)
{
    limits_ = limitsOf(service, configuration);
    tokenChecking_ = configuration.tokenChecking_;
    gate_.setLimits(limits_, now.monotonic_);
    const ServerEntry *entry = record.findServer(server_.server_);
    CHECK(entry) << "server " << server_.server_.value_ << " is not in its ownership record";
    if (entry->token_ != token_) {
        // Requests of the previous dispatcher may still run, and the server may have restarted. Neither can be known here, so wait for the
        // maximum execution time and treat the server as cold.
        token_ = entry->token_;
        gate_.assumeUnknownWork(now.monotonic_, now.monotonic_ + limits_.maxExecution_);
        rangeVersions_.clear();
        seen_.setKnownSince(WholeService, now.wallClock_);
    }
    trackRanges(record, now);
}

void ServerDispatcher::trackRanges(const ServiceRecord &record, Now now)
{
    std::map<KeyRange, Version> ranges;
    for (const KeyRange &range : record.rangesOf(server_.server_)) {
        const Version since = record.entryOf(range)->since_;
        ranges.emplace(range, since);
        const auto known = rangeVersions_.find(range);
        if (known == rangeVersions_.end()) {
            seen_.setKnownSince(range, now.wallClock_);
        } else if (known->second != since) {
            // A hot key was merged back into this slice, and the history of the slice does not cover that key.
            seen_.restart(range, now.wallClock_);
        }
    }
    // A hot key merged into its slice may have been dispatched by other instances before its history here began.
    for (const auto &[range, since] : rangeVersions_) {
        const KeyRange slice{range.slice_, {}};
        if (!ranges.contains(range) && ranges.contains(slice)) {
            seen_.limitHistory(slice, seen_.knownSince(range));
        }
    }
    rangeVersions_ = std::move(ranges);
    seen_.expire(now.wallClock_);
}

DispatchDecision ServerDispatcher::offer(const DispatchRequest &request, const DispatchRights &rights, Now now)
{
    // 1. Check the right to dispatch and the lease.
    if (const auto rejection = checkRights(rights, now)) {
        return {DispatchDecision::Kind::Rejected, 0, *rejection};
    }
    // 2. Check a request that must not run twice against the history.
    if (mustRunOnce(request)) {
        if (const auto rejection = checkDuplicate(request, now)) {
            return {DispatchDecision::Kind::Rejected, 0, *rejection};
        }
    }
    // 3. Ask the gate for a slot.
    const GateDecision decision = gate_.offer({request.customer_, request.share_, request.priority_, request.range_, request.deadline_}, now.monotonic_);
    if (decision.kind_ == GateDecision::Kind::Rejected) {
        return {DispatchDecision::Kind::Rejected, 0, Verdict::notRun(decision.error_)};
    }
    if (mustRunOnce(request)) {
        seen_.insert(request.id_, historyRange(request), now.wallClock_);
    }
    attempts_.emplace(decision.ticket_, Attempt{request, now.monotonic_, false});
    const bool isRunning = decision.kind_ == GateDecision::Kind::Run;
    return {isRunning ? DispatchDecision::Kind::Run : DispatchDecision::Kind::Queued, decision.ticket_, {}};
}

std::optional<Verdict> ServerDispatcher::checkRights(const DispatchRights &rights, Now now) const
{
    switch (rights.right_) {
    case DispatchRight::NotDispatcher:
        return Verdict::notRun(RouterError::NotDispatcher);
    case DispatchRight::NoLease:
        return Verdict::notRun(RouterError::NoLease);
    case DispatchRight::Closed:
    case DispatchRight::NotServing:
        return Verdict::notRun(RouterError::NoOwner);
    case DispatchRight::Granted:
        break;
    }
    if (now.monotonic_ >= rights.leaseExpiry_ || needsGrant()) {
        return Verdict::notRun(RouterError::NoLease);
    }
    if (isLost()) {
        return Verdict::notRun(health_.isLost() ? RouterError::ServerUnreachable : RouterError::ServerDraining);
    }
    return std::nullopt;
}

std::optional<Verdict> ServerDispatcher::checkDuplicate(const DispatchRequest &request, Now now) const
{
    switch (seen_.check(request.id_, historyRange(request), now.wallClock_)) {
    case DuplicateCheck::Fresh:
        return std::nullopt;
    case DuplicateCheck::Duplicate:
        return Verdict::mayHaveRun(RouterError::DuplicateRequest);
    case DuplicateCheck::Completed:
        return Verdict::ran(RouterError::DuplicateRequest);
    case DuplicateCheck::FromFuture:
        return Verdict::mayHaveRun(RouterError::BadRequest);
    case DuplicateCheck::PossibleDuplicate:
        // Only the entry knows an identifier that it created, and it retries only requests that certainly have not run.
        if (request.idOrigin_ == IdOrigin::Entry) {
            return std::nullopt;
        }
        return Verdict::mayHaveRun(RouterError::PossibleDuplicate);
    }
    return std::nullopt;
}

Result<WritePermission> ServerDispatcher::beginWrite(Ticket ticket, const DispatchRights &rights, Now now)
{
    const auto attempt = attempts_.find(ticket);
    CHECK(attempt != attempts_.end()) << "unknown ticket " << ticket;
    std::optional<Verdict> rejection = checkRights(rights, now);
    if (!rejection && attempt->second.request_.deadline_ <= now.monotonic_) {
        rejection = Verdict::notRun(RouterError::DeadlineExceeded);
    }
    if (rejection) {
        gate_.finish(ticket, SlotOutcome::Ended, now.monotonic_);
        dropAttempt(ticket);
        return rejection->reason();
    }
    attempt->second.isWritten_ = true;
    attempt->second.startedAt_ = now.monotonic_;
    return WritePermission{token_, health_.bootId(), std::min(attempt->second.request_.deadline_, now.monotonic_ + limits_.maxExecution_)};
}

void ServerDispatcher::finish(Ticket ticket, AttemptResult result, const ServerContact &contact, Now now)
{
    const auto attempt = attempts_.find(ticket);
    CHECK(attempt != attempts_.end()) << "unknown ticket " << ticket;
    const DispatchRequest request = attempt->second.request_;
    const TimePoint startedAt = attempt->second.startedAt_;
    gate_.finish(ticket, slotOutcomeOf(result), now.monotonic_);
    if (result == AttemptResult::StaleToken) {
        // The server does not know the present token, or has accepted a higher one. Grant the token again to find out which.
        grantedToken_ = 0;
    }
    if (mustRunOnce(request)) {
        const bool isAnswered = result == AttemptResult::Answered || result == AttemptResult::Failed || result == AttemptResult::Truncated;
        if (isAnswered) {
            seen_.setCompleted(request.id_);
        } else if (verdictOf(result).execution() == Execution::NotRun) {
            seen_.erase(request.id_);
        }
    }
    // If a new connection leads to another boot of the server, nothing is written, but the server has been reached.
    const bool hasContact = (result != AttemptResult::Lost && result != AttemptResult::NotWritten) || !contact.bootId_.empty();
    if (!hasContact) {
        health_.recordFailure(now.monotonic_);
    } else {
        applyHealthChange(health_.recordSuccess(contact, startedAt, now.monotonic_), now);
    }
    if (result == AttemptResult::Answered && request.range_) {
        load_.record(*request.range_, request.key_, now.monotonic_ - startedAt, now.monotonic_);
    }
    attempts_.erase(ticket);
}

bool ServerDispatcher::withdraw(Ticket ticket)
{
    const bool wasWaiting = gate_.withdraw(ticket);
    if (wasWaiting) {
        dropAttempt(ticket);
    }
    return wasWaiting;
}

GateEvents ServerDispatcher::takeEvents(Now now)
{
    GateEvents events = gate_.takeEvents(now.monotonic_);
    for (const auto *ended : {&events.expired_, &events.evicted_}) {
        std::for_each(ended->begin(), ended->end(), [this](Ticket ticket) {
            dropAttempt(ticket);
        });
    }
    return events;
}

bool ServerDispatcher::needsGrant() const
{
    return tokenChecking_ == TokenChecking::Checks && grantedToken_ != token_;
}

void ServerDispatcher::recordGrantAccepted(FencingToken token, std::uint32_t running, Now)
{
    if (token != token_) {
        return;
    }
    grantedToken_ = token;
    // From now on the server rejects lower tokens, so once it runs nothing, no request unknown to the gate can start.
    if (running == 0) {
        gate_.clearUnknownWork();
    }
}

void ServerDispatcher::recordProbe(bool isAnswered, const ServerContact &contact, TimePoint startedAt, Now now)
{
    if (isAnswered) {
        applyHealthChange(health_.recordSuccess(contact, startedAt, now.monotonic_), now);
    } else {
        health_.recordFailure(now.monotonic_);
    }
}

void ServerDispatcher::applyHealthChange(HealthChange change, Now now)
{
    if (change == HealthChange::None) {
        return;
    }
    LOG(WARNING) << "backend server " << server_.server_.value_ << (change == HealthChange::Recovered ? " returned" : " restarted") << "; treated as cold";
    gate_.coldStart().setCold(now.monotonic_);
    if (change == HealthChange::Restarted) {
        // A restarted server no longer knows the token.
        grantedToken_ = 0;
    }
}

RangeHistory ServerDispatcher::historyOf(const RangeTransfer &range) const
{
    return {range.target_, seen_.knownSince(range.source_), seen_.requestsOf(range.source_)};
}

void ServerDispatcher::inherit(const RangeHistory &history, Now now)
{
    seen_.inherit(history.range_, history.knownSince_, history.requests_, now.wallClock_);
}

void ServerDispatcher::restoreHandoverState(const ServerHandoverState &handoverState)
{
    const bool isSameBoot = !handoverState.bootId_.empty() && (health_.bootId().empty() || health_.bootId() == handoverState.bootId_);
    if (!isSameBoot) {
        return;
    }
    // The server was drained, so it runs no request unknown to this gate. A later restart is detected by the boot identifier.
    gate_.clearUnknownWork();
    gate_.coldStart().restore(handoverState.limit_, handoverState.successes_);
    health_.setBootId(handoverState.bootId_);
}

void ServerDispatcher::dropAttempt(Ticket ticket)
{
    const auto attempt = attempts_.find(ticket);
    if (attempt == attempts_.end()) {
        return;
    }
    if (mustRunOnce(attempt->second.request_)) {
        seen_.erase(attempt->second.request_.id_);
    }
    attempts_.erase(attempt);
}

} // namespace Goldcrestwall
