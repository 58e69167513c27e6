// Dispatch table: running, queueing and cancelling requests, server probes and transferred histories.
#include <LibRuntime/DispatchTable.h>

#include <future>

namespace Goldcrestwall {

namespace {

constexpr Duration HistoryRetention = 10s;
constexpr std::size_t MaxPendingHistories = 1024;

DispatchRequest requestOf(const DispatchCall &call, TimePoint receivedAt)
{
    DispatchRequest request;
    request.customer_ = call.customer_;
    request.share_ = call.share_;
    request.priority_ = static_cast<Priority>(call.priority_);
    request.range_ = call.hasRange_ ? std::optional(call.range_) : std::nullopt;
    request.key_ = call.key_;
    request.id_ = call.id_;
    request.idOrigin_ = static_cast<IdOrigin>(call.idOrigin_);
    request.idempotence_ = static_cast<Idempotence>(call.idempotence_);
    request.deadline_ = receivedAt + Duration(call.timeoutMicroseconds_);
    return request;
}

DispatchReply makeRejection(const Verdict &verdict)
{
    return {false, {}, verdict};
}

Now currentTime()
{
    return {monotonicNow(), unixNow()};
}

} // namespace

DispatchTable::ServerContext::ServerContext(ServerDispatcher dispatcher, const ServerConfiguration &configuration)
    : dispatcher_(std::move(dispatcher))
    , client_(configuration.address_, configuration.connections_)
    , address_(configuration.address_)
{
}

DispatchTable::DispatchTable(RoutingView &view, MetricRegistry &metrics)
    : view_(view)
    , metrics_(metrics)
{
}

std::shared_ptr<DispatchTable::ServerContext> DispatchTable::find(const ServerKey &server)
{
    const std::shared_lock lock(mutex_);
    const auto position = serverContexts_.find(server);
    return position == serverContexts_.end() ? nullptr : position->second;
}

DispatchRights DispatchTable::rightsFor(const DispatchCall &call, const RoutingTable &table) const
{
    const std::optional<KeyRange> range = call.hasRange_ ? std::optional(call.range_) : std::nullopt;
    const bool isAddressedToSelf = call.dispatcher_ == table.self();
    const DispatchRight right = isAddressedToSelf ? table.rightTo({call.service_, call.server_}, range, call.key_) : DispatchRight::NotDispatcher;
    return {right, view_.leaseExpiry()};
}

DispatchReply DispatchTable::dispatch(const DispatchCall &call, TimePoint receivedAt)
{
    // 1. Take the right to dispatch from the current routing table.
    const auto table = view_.table();
    const std::shared_ptr<ServerContext> serverContext = find({call.service_, call.server_});
    if (!table || !serverContext) {
        return makeRejection(Verdict::notRun(RouterError::NotDispatcher));
    }
    // 2. Offer the request to the dispatcher.
    const DispatchRequest request = requestOf(call, receivedAt);
    std::unique_lock lock(serverContext->mutex_);
    const DispatchDecision decision = serverContext->dispatcher_.offer(request, rightsFor(call, *table), currentTime());
    if (decision.kind_ == DispatchDecision::Kind::Rejected) {
        return makeRejection(decision.verdict_);
    }
    const bool isCancellable = !call.correlation_.empty();
    if (isCancellable) {
        const std::lock_guard attemptsLock(attemptsMutex_);
        attempts_[call.correlation_] = {serverContext, decision.ticket_};
    }
    // 3. Wait for a free slot, then run.
    std::optional<Verdict> rejection;
    if (decision.kind_ == DispatchDecision::Kind::Queued) {
        rejection = waitForSlot(*serverContext, lock, decision.ticket_, request.deadline_);
    }
    DispatchReply reply = rejection ? makeRejection(*rejection) : run(*serverContext, lock, decision.ticket_, call);
    lock.unlock();
    if (isCancellable) {
        const std::lock_guard attemptsLock(attemptsMutex_);
        attempts_.erase(call.correlation_);
    }
    return reply;
}

std::optional<Verdict> DispatchTable::waitForSlot(ServerContext &serverContext, std::unique_lock<std::mutex> &lock, Ticket ticket, TimePoint deadline)
{
    Waiter waiter;
    serverContext.waiters_.emplace(ticket, &waiter);
    const auto until = std::chrono::steady_clock::now() + (deadline - monotonicNow());
    waiter.condition_.wait_until(lock, until, [&] {
        return waiter.state_ != WaitState::Waiting;
    });
    serverContext.waiters_.erase(ticket);
    switch (waiter.state_) {
    case WaitState::Ready:
        return std::nullopt;
    case WaitState::Evicted:
        return Verdict::notRun(RouterError::QueueFull);
    case WaitState::Expired:
        return Verdict::notRun(RouterError::DeadlineExceeded);
    case WaitState::Misdirected:
        return Verdict::notRun(RouterError::NotDispatcher);
    case WaitState::Waiting:
        serverContext.dispatcher_.withdraw(ticket);
        return Verdict::notRun(RouterError::DeadlineExceeded);
    }
    return std::nullopt;
}

DispatchReply DispatchTable::run(ServerContext &serverContext, std::unique_lock<std::mutex> &lock, Ticket ticket, const DispatchCall &call)
{
    // 1. The right may have been lost since the admission, so check it again right before the write.
    const Now before = currentTime();
    const auto table = view_.table();
    const auto permission = serverContext.dispatcher_.beginWrite(ticket, rightsFor(call, *table), before);
    if (!permission.isOk()) {
        signal(serverContext, serverContext.dispatcher_.takeEvents(before));
        return makeRejection({Execution::NotRun, permission.error()});
    }
    // 2. Send the request and wait for the response without holding the lock.
    const Duration timeout = permission.value().executionDeadline_ - before.monotonic_;
    const BackendCall backendCall{call.correlation_.empty() ? std::to_string(ticket) : call.correlation_,
                                  permission.value().token_,
                                  permission.value().bootId_,
                                  call.id_,
                                  call.key_,
                                  timeout,
                                  before.wallClock_ + std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()};
    lock.unlock();
    BackendReply reply = serverContext.client_.send(call.content_, backendCall);
    lock.lock();
    // 3. Free the slot and start queued requests.
    const Now after = currentTime();
    serverContext.dispatcher_.finish(ticket, reply.result_, reply.contact_, after);
    signal(serverContext, serverContext.dispatcher_.takeEvents(after));
    metrics_.observe("backend_seconds", {{"server", call.server_.value_}}, after.monotonic_ - before.monotonic_);
    // 4. The response to an idempotent request is returned only if the server is still the owner, because it may be stale otherwise. Any
    // other request has run in either case, so its response is returned.
    const DispatchRights rights = rightsFor(call, *view_.table());
    const bool isStillOwner = (rights.right_ == DispatchRight::Granted || rights.right_ == DispatchRight::Closed) && after.monotonic_ < rights.leaseExpiry_;
    const bool mayBeStale = !isStillOwner && static_cast<Idempotence>(call.idempotence_) == Idempotence::Idempotent;
    if (reply.result_ == AttemptResult::Answered && mayBeStale) {
        return makeRejection(Verdict::ran(RouterError::NoLease));
    }
    if (reply.result_ == AttemptResult::Answered) {
        return {true, std::move(reply.answer_), Verdict(Execution::Ran, {})};
    }
    return makeRejection(verdictOf(reply.result_));
}

void DispatchTable::cancel(const std::string &correlation)
{
    RunningAttempt attempt;
    {
        const std::lock_guard lock(attemptsMutex_);
        const auto position = attempts_.find(correlation);
        if (position == attempts_.end()) {
            return;
        }
        attempt = position->second;
    }
    {
        const std::lock_guard lock(attempt.serverContext_->mutex_);
        const auto waiter = attempt.serverContext_->waiters_.find(attempt.ticket_);
        if (attempt.serverContext_->dispatcher_.withdraw(attempt.ticket_)) {
            if (waiter != attempt.serverContext_->waiters_.end()) {
                waiter->second->state_ = WaitState::Expired;
                waiter->second->condition_.notify_one();
            }
            return;
        }
    }
    attempt.serverContext_->client_.cancel(correlation, HealthCheckSettings().probeTimeout_);
}

void DispatchTable::signal(ServerContext &serverContext, const GateEvents &events)
{
    wake(serverContext, events.ready_, WaitState::Ready);
    wake(serverContext, events.expired_, WaitState::Expired);
    wake(serverContext, events.evicted_, WaitState::Evicted);
}

void DispatchTable::wake(ServerContext &serverContext, const std::vector<Ticket> &tickets, WaitState state)
{
    for (const Ticket ticket : tickets) {
        const auto waiter = serverContext.waiters_.find(ticket);
        CHECK(waiter != serverContext.waiters_.end()) << "no waiter for ticket " << ticket;
        waiter->second->state_ = state;
        waiter->second->condition_.notify_one();
    }
}

void DispatchTable::update(const RoutingTable &table, Now now)
{
    // 1. Keep the servers dispatched by this instance and drop the others.
    const std::unique_lock lock(mutex_);
    std::map<ServerKey, std::shared_ptr<ServerContext>> kept;
    for (const auto &[service, route] : table.services()) {
        if (!route.record_) {
            continue;
        }
        for (const ServerEntry &entry : route.record_->servers()) {
            const ServerConfiguration *configuration = route.configuration_->findServer(entry.server_);
            if (entry.dispatcher_ != table.self() || !configuration) {
                continue;
            }
            const ServerKey key{service, entry.server_};
            const auto known = serverContexts_.find(key);
            const bool isSame = known != serverContexts_.end() && known->second->address_ == configuration->address_;
            auto serverContext =
                isSame ? known->second : std::make_shared<ServerContext>(ServerDispatcher(key, *route.configuration_, *configuration, now), *configuration);
            // 2. Apply the configuration and the record.
            {
                const std::lock_guard contextLock(serverContext->mutex_);
                serverContext->dispatcher_.update(*route.configuration_, *configuration, *route.record_, now);
                applyHistories(*serverContext, *route.record_, now);
                const std::vector<Ticket> misdirected = serverContext->dispatcher_.takeMisdirected([&](const DispatchRequest &request) {
                    return table.rightTo(key, request.range_, request.key_) == DispatchRight::NotDispatcher;
                });
                wake(*serverContext, misdirected, WaitState::Misdirected);
            }
            kept.emplace(key, std::move(serverContext));
        }
    }
    serverContexts_ = std::move(kept);
}

void DispatchTable::applyHistories(ServerContext &serverContext, const ServiceRecord &record, Now now)
{
    const std::lock_guard lock(historyMutex_);
    const ServerEntry *entry = record.findServer(serverContext.dispatcher_.server().server_);
    for (const auto &[change, pending] : histories_) {
        for (const PendingHistory &history : pending) {
            const bool isForServer = history.transfer_.server_ == entry->server_ && history.transfer_.service_ == serverContext.dispatcher_.server().service_;
            if (!isForServer) {
                continue;
            }
            const ChangeNote *handover = record.changes().find(entry->token_);
            if (handover && handover->id_ == change) {
                serverContext.dispatcher_.restoreHandoverState(history.transfer_.handoverState_);
            }
            for (const RangeHistory &range : history.transfer_.histories_) {
                // The history is valid only if this change moved the range here and no later change affected the range.
                const SliceEntry *owner = record.entryOf(range.range_);
                const Version latest = std::max(entry->token_, owner ? owner->since_ : 0);
                const ChangeNote *note = record.changes().find(latest);
                if (note && note->id_ == change) {
                    serverContext.dispatcher_.inherit(range, now);
                }
            }
        }
    }
}

void DispatchTable::tick(Now now)
{
    std::vector<std::shared_ptr<ServerContext>> serverContexts;
    {
        const std::shared_lock lock(mutex_);
        for (const auto &[server, serverContext] : serverContexts_) {
            serverContexts.push_back(serverContext);
        }
    }
    for (const std::shared_ptr<ServerContext> &serverContext : serverContexts) {
        const std::lock_guard lock(serverContext->mutex_);
        signal(*serverContext, serverContext->dispatcher_.takeEvents(now));
    }
}

void DispatchTable::probeServers()
{
    std::vector<std::shared_ptr<ServerContext>> due;
    {
        const std::shared_lock lock(mutex_);
        for (const auto &[server, serverContext] : serverContexts_) {
            const std::lock_guard contextLock(serverContext->mutex_);
            const bool isDue = !serverContext->isProbing_ && serverContext->dispatcher_.health().isProbeDue(monotonicNow());
            if (isDue) {
                serverContext->isProbing_ = true;
                serverContext->dispatcher_.health().recordProbeStarted(monotonicNow());
                due.push_back(serverContext);
            }
        }
    }
    std::vector<std::future<void>> probes;
    for (const std::shared_ptr<ServerContext> &serverContext : due) {
        probes.push_back(std::async(std::launch::async, [this, serverContext] {
            probeServer(*serverContext);
        }));
    }
}

void DispatchTable::probeServer(ServerContext &serverContext)
{
    std::unique_lock lock(serverContext.mutex_);
    const FencingToken token = serverContext.dispatcher_.token();
    const bool isGrantNeeded = serverContext.dispatcher_.needsGrant();
    const Duration timeout = serverContext.dispatcher_.health().settings().probeTimeout_;
    lock.unlock();
    const TimePoint startedAt = monotonicNow();
    const ControlReply reply = isGrantNeeded ? serverContext.client_.grant(token, timeout) : serverContext.client_.probe(timeout);
    lock.lock();
    const Now now = currentTime();
    serverContext.dispatcher_.recordProbe(reply.isAnswered_, reply.contact_, startedAt, now);
    if (isGrantNeeded && reply.isAccepted_) {
        serverContext.dispatcher_.recordGrantAccepted(token, reply.running_, now);
    }
    serverContext.isProbing_ = false;
}

bool DispatchTable::isDrained(const ServerKey &server, const std::optional<KeyRange> &range)
{
    const std::shared_ptr<ServerContext> serverContext = find(server);
    if (!serverContext) {
        // The table lags behind the record. A server that is not yet in the table counts as not drained.
        return false;
    }
    const std::lock_guard lock(serverContext->mutex_);
    return serverContext->dispatcher_.isDrained(range, monotonicNow());
}

bool DispatchTable::isLost(const ServerKey &server)
{
    const std::shared_ptr<ServerContext> serverContext = find(server);
    if (!serverContext) {
        return false;
    }
    const std::lock_guard lock(serverContext->mutex_);
    return serverContext->dispatcher_.isLost();
}

std::map<ServiceKey, std::vector<ServerLoad>> DispatchTable::loads(Now now)
{
    std::map<ServiceKey, std::vector<ServerLoad>> loads;
    const std::shared_lock lock(mutex_);
    for (const auto &[server, serverContext] : serverContexts_) {
        const std::lock_guard contextLock(serverContext->mutex_);
        loads[server.service_].push_back(serverContext->dispatcher_.load(now));
    }
    return loads;
}

HistoryTransfer DispatchTable::takeHistory(const TransferHistory &transfer)
{
    HistoryTransfer result{transfer.service_, transfer.to_, transfer.change_, {}, {}};
    const std::shared_ptr<ServerContext> serverContext = find({transfer.service_, transfer.from_});
    if (serverContext) {
        const std::lock_guard lock(serverContext->mutex_);
        for (const RangeTransfer &range : transfer.ranges_) {
            result.histories_.push_back(serverContext->dispatcher_.historyOf(range));
        }
        if (transfer.from_ == transfer.to_) {
            result.handoverState_ = serverContext->dispatcher_.handoverState();
        }
    }
    return result;
}

void DispatchTable::addHistory(HistoryTransfer transfer, Now now)
{
    const ServerKey server{transfer.service_, transfer.server_};
    {
        const std::lock_guard lock(historyMutex_);
        std::erase_if(histories_, [&](const auto &entry) {
            return now.monotonic_ - entry.second.front().receivedAt_ > HistoryRetention;
        });
        if (histories_.size() >= MaxPendingHistories) {
            return;
        }
        const ChangeId change = transfer.change_;
        histories_[change].push_back({std::move(transfer), now.monotonic_});
    }
    // The change may have been applied before its history arrived.
    const std::shared_ptr<ServerContext> serverContext = find(server);
    const auto table = view_.table();
    const ServiceRoute *route = table ? table->find(server.service_) : nullptr;
    if (serverContext && route && route->record_ && route->record_->findServer(server.server_)) {
        const std::lock_guard lock(serverContext->mutex_);
        applyHistories(*serverContext, *route->record_, now);
    }
}

std::vector<DispatchTable::ServerView> DispatchTable::servers()
{
    std::vector<ServerView> views;
    const std::shared_lock lock(mutex_);
    for (const auto &[server, serverContext] : serverContexts_) {
        const std::lock_guard contextLock(serverContext->mutex_);
        const ServerGate &gate = serverContext->dispatcher_.gate();
        views.push_back({server,
                         serverContext->dispatcher_.token(),
                         gate.runningCount(),
                         gate.queueLength(),
                         gate.coldStart().limit(),
                         serverContext->dispatcher_.isLost(),
                         serverContext->dispatcher_.needsGrant(),
                         gate.serviceTime()});
    }
    return views;
}

} // namespace Goldcrestwall
