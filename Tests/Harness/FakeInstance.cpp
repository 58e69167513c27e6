// Implements an instance in simulated time.
#include <Tests/Harness/FakeInstance.h>

#include <Tests/Harness/Simulation.h>

namespace Goldcrestwall {

namespace {

constexpr Duration TickInterval = 10ms;
constexpr Duration LoadInterval = 1s;
constexpr Duration MaxClockOffset = 1000s;
// The maximum deviation of a clock's rate from simulated time.
constexpr double MaxClockError = 0.002;

} // namespace

FakeInstance::FakeInstance(Simulation &simulation, InstanceId id, DomainId domain, std::uint64_t seed)
    : simulation_(simulation)
    , id_(std::move(id))
    , domain_(std::move(domain))
    , random_(seed)
    , clockOffset_(simulation.events().uniform(1s, MaxClockOffset))
    , clockRate_(1 + MaxClockError * (2 * simulation.events().uniform() - 1))
{
}

Now FakeInstance::now() const
{
    const TimePoint time = simulation_.events().now();
    const auto local = static_cast<Duration::rep>(clockRate_ * static_cast<double>(time.time_since_epoch().count()));
    return {TimePoint(clockOffset_ + Duration(local)), wallClockTime(time)};
}

void FakeInstance::start()
{
    process_ = ++lastProcess_;
    isPaused_ = false;
    startedAt_ = now().wallClock_;
    pausedTasks_.clear();
    serverContexts_.clear();
    histories_.clear();
    requestContexts_.clear();
    services_.clear();
    budgets_.clear();
    attempts_.clear();
    table_.reset();
    CoordinatorSettings settings;
    settings.instance_ = id_;
    settings.address_ = address();
    settings.domain_ = domain_;
    settings.balance_.overloadFactor_ = simulation_.options().overloadFactor_;
    for (std::size_t index = 0; index < simulation_.instanceCount(); ++index) {
        settings.seeds_.push_back(simulation_.instance(index).address());
    }
    DataPlaneQueries dataPlane;
    dataPlane.isDrained_ = [this](const ServerKey &server, const std::optional<KeyRange> &range) {
        const auto serverContext = serverContexts_.find(server);
        return serverContext != serverContexts_.end() && serverContext->second.dispatcher_.isDrained(range, now().monotonic_);
    };
    dataPlane.isLost_ = [this](const ServerKey &server) {
        const auto serverContext = serverContexts_.find(server);
        return serverContext != serverContexts_.end() && serverContext->second.dispatcher_.isLost();
    };
    coordinator_ = std::make_unique<Coordinator>(settings, static_cast<std::uint64_t>(startedAt_), std::move(dataPlane), random_());
    after(simulation_.events().uniform(0ms, TickInterval), [this] {
        tick();
    });
}

void FakeInstance::kill()
{
    process_ = 0;
    isPaused_ = false;
    pausedTasks_.clear();
    requestContexts_.clear();
}

void FakeInstance::setPaused(bool isPaused)
{
    isPaused_ = isPaused;
    if (isPaused) {
        return;
    }
    std::vector<std::function<void()>> tasks;
    tasks.swap(pausedTasks_);
    for (const auto &task : tasks) {
        run(task);
    }
}

void FakeInstance::run(std::function<void()> task)
{
    if (process_ == 0) {
        return;
    }
    if (isPaused_) {
        pausedTasks_.push_back(std::move(task));
        return;
    }
    task();
}

void FakeInstance::after(Duration delay, std::function<void()> task)
{
    simulation_.events().after(delay, [this, process = process_, task = std::move(task)] {
        if (process == process_) {
            run(task);
        }
    });
}

void FakeInstance::leave()
{
    run([this] {
        coordinator_->leave();
    });
}

void FakeInstance::tick()
{
    after(TickInterval, [this] {
        tick();
    });
    for (auto &[key, serverContext] : serverContexts_) {
        takeEvents(key, serverContext);
    }
    probeServers();
    reportLoads();
    coordinator_->tick(now());
    publish();
}

void FakeInstance::reportLoads()
{
    if (!simulation_.options().balances_ || now().monotonic_ < nextLoads_) {
        return;
    }
    nextLoads_ = now().monotonic_ + LoadInterval;
    std::map<ServiceKey, std::vector<ServerLoad>> loads;
    for (auto &[key, serverContext] : serverContexts_) {
        loads[key.service_].push_back(serverContext.dispatcher_.load(now()));
    }
    for (auto &[service, serviceLoads] : loads) {
        coordinator_->setLoads(service, std::move(serviceLoads));
    }
}

void FakeInstance::publish()
{
    const auto table = coordinator_->routingTable();
    if (table != table_) {
        table_ = table;
        updateServerContexts();
    }
    for (const Action &action : coordinator_->takeActions()) {
        execute(action);
    }
}

void FakeInstance::execute(const Action &action)
{
    const auto answer = [this, process = process_](const StoreResponse &result) {
        if (process != process_) {
            return;
        }
        StoreResponse received = result;
        if (!simulation_.canReach(address(), "store")) {
            received = {result.call_, StoreStatus::Unknown, {}, {}};
        }
        run([this, received] {
            receiveStoreResponse(received);
        });
    };
    const auto unreachable = [this](std::uint64_t call) {
        after(1s, [this, call] {
            receiveStoreResponse({call, StoreStatus::Unavailable, {}, {}});
        });
    };
    const bool isStoreReachable = simulation_.canReach(address(), "store");
    if (const auto *message = std::get_if<SendMessage>(&action)) {
        if (message->address_ != address()) {
            simulation_.recordMessage(encodeEnvelope(message->envelope_).size());
        }
        simulation_.send(address(), message->address_, [envelope = message->envelope_](FakeInstance &receiver) {
            receiver.receive(envelope);
        });
    } else if (const auto *transfer = std::get_if<TransferHistory>(&action)) {
        const auto serverContext = serverContexts_.find({transfer->service_, transfer->from_});
        std::vector<RangeHistory> histories;
        for (const RangeTransfer &range : transfer->ranges_) {
            if (serverContext != serverContexts_.end()) {
                histories.push_back(serverContext->second.dispatcher_.historyOf(range));
            }
        }
        const ServerKey target{transfer->service_, transfer->to_};
        const bool isHandover = serverContext != serverContexts_.end() && transfer->from_ == transfer->to_;
        const ServerHandoverState handoverState = isHandover ? serverContext->second.dispatcher_.handoverState() : ServerHandoverState();
        simulation_.send(address(), transfer->address_, [target, change = transfer->change_, histories, handoverState](FakeInstance &receiver) {
            receiver.receiveHistory(target, change, histories, handoverState);
        });
    } else if (const auto *read = std::get_if<ReadRecord>(&action)) {
        isStoreReachable ? simulation_.store().read(*read, answer) : unreachable(read->call_);
    } else if (const auto *list = std::get_if<ListRecords>(&action)) {
        isStoreReachable ? simulation_.store().list(*list, answer) : unreachable(list->call_);
    } else if (const auto *swap = std::get_if<SwapRecord>(&action)) {
        isStoreReachable ? simulation_.store().swap(*swap, answer) : unreachable(swap->call_);
    }
}

void FakeInstance::receiveStoreResponse(const StoreResponse &response)
{
    // A read without a response had no effect; only a swap may have taken effect.
    coordinator_->handleStoreResponse(response, now());
    coordinator_->setPlatformList(simulation_.platformList(now().monotonic_));
    publish();
}

void FakeInstance::receive(const Envelope &envelope)
{
    coordinator_->handleMessage(envelope, now());
    publish();
}

void FakeInstance::change(RecordChange change)
{
    run([this, change = std::move(change)]() mutable {
        change.deadline_ = now().monotonic_ + 5s;
        coordinator_->submitChange(std::move(change), now());
        publish();
    });
}

void FakeInstance::updateServerContexts()
{
    std::set<ServerKey> kept;
    for (const auto &[service, route] : table_->services()) {
        if (!route.record_) {
            continue;
        }
        for (const ServerEntry &entry : route.record_->servers()) {
            const ServerConfiguration *configuration = route.configuration_->findServer(entry.server_);
            if (entry.dispatcher_ != table_->self() || !configuration) {
                continue;
            }
            const ServerKey key{service, entry.server_};
            kept.insert(key);
            auto serverContext = serverContexts_.find(key);
            if (serverContext == serverContexts_.end()) {
                serverContext =
                    serverContexts_.emplace(key, ServerContext{ServerDispatcher(key, *route.configuration_, *configuration, now()), {}, false}).first;
            }
            serverContext->second.dispatcher_.update(*route.configuration_, *configuration, *route.record_, now());
            applyHistories(key, serverContext->second, *route.record_);
            for (const Ticket ticket : serverContext->second.dispatcher_.takeMisdirected([&](const DispatchRequest &request) {
                     return table_->rightTo(key, request.range_, request.key_) == DispatchRight::NotDispatcher;
                 })) {
                const Waiting waiting = std::move(serverContext->second.waiting_.at(ticket));
                serverContext->second.waiting_.erase(ticket);
                waiting.respond_({false, {}, Verdict::notRun(RouterError::NotDispatcher)});
            }
        }
    }
    for (auto serverContext = serverContexts_.begin(); serverContext != serverContexts_.end();) {
        if (kept.contains(serverContext->first)) {
            ++serverContext;
            continue;
        }
        for (auto &[ticket, waiting] : serverContext->second.waiting_) {
            waiting.respond_({false, {}, Verdict::notRun(RouterError::NotDispatcher)});
        }
        serverContext = serverContexts_.erase(serverContext);
    }
}

void FakeInstance::applyHistories(const ServerKey &key, ServerContext &serverContext, const ServiceRecord &record)
{
    const ServerEntry *entry = record.findServer(key.server_);
    for (const auto &[change, pending] : histories_) {
        for (const PendingHistory &history : pending) {
            if (history.server_ != key) {
                continue;
            }
            const ChangeNote *handover = record.changes().find(entry->token_);
            if (handover && handover->id_ == change) {
                serverContext.dispatcher_.restoreHandoverState(history.handoverState_);
            }
            for (const RangeHistory &range : history.histories_) {
                const SliceEntry *owner = record.entryOf(range.range_);
                const ChangeNote *note = record.changes().find(std::max(entry->token_, owner ? owner->since_ : 0));
                if (note && note->id_ == change) {
                    serverContext.dispatcher_.inherit(range, now());
                }
            }
        }
    }
}

void FakeInstance::receiveHistory(const ServerKey &server,
                                  const ChangeId &change,
                                  const std::vector<RangeHistory> &histories,
                                  const ServerHandoverState &handoverState)
{
    histories_[change].push_back({server, histories, handoverState});
    const auto serverContext = serverContexts_.find(server);
    const ServiceRoute *route = table_ ? table_->find(server.service_) : nullptr;
    if (serverContext != serverContexts_.end() && route && route->record_) {
        applyHistories(server, serverContext->second, *route->record_);
    }
}

void FakeInstance::probeServers()
{
    for (auto &[key, serverContext] : serverContexts_) {
        ServerHealth &health = serverContext.dispatcher_.health();
        const TimePoint startedAt = now().monotonic_;
        if (serverContext.isProbing_ || !health.isProbeDue(startedAt)) {
            continue;
        }
        serverContext.isProbing_ = true;
        health.recordProbeStarted(startedAt);
        const std::optional<FencingToken> token = serverContext.dispatcher_.needsGrant() ? std::optional(serverContext.dispatcher_.token()) : std::nullopt;
        const auto hasEnded = std::make_shared<bool>(false);
        after(health.settings().probeTimeout_, [this, key = key, token, startedAt, hasEnded] {
            if (!std::exchange(*hasEnded, true)) {
                handleProbeEnd(key, false, false, 0, {}, token, startedAt);
            }
        });
        if (!simulation_.canReach(address(), key.server_.value_)) {
            continue;
        }
        simulation_.events().after(simulation_.latency(), [this, key = key, token, startedAt, hasEnded, process = process_] {
            simulation_.server(key.server_).contact(token, [=, this](bool isAccepted, std::uint32_t running, const ServerContact &contact) {
                if (process != process_ || !simulation_.canReach(address(), key.server_.value_)) {
                    return;
                }
                after(simulation_.latency(), [=, this] {
                    if (!std::exchange(*hasEnded, true)) {
                        handleProbeEnd(key, true, isAccepted, running, contact, token, startedAt);
                    }
                });
            });
        });
    }
}

void FakeInstance::handleProbeEnd(const ServerKey &key,
                                  bool isAnswered,
                                  bool isAccepted,
                                  std::uint32_t running,
                                  const ServerContact &contact,
                                  std::optional<FencingToken> token,
                                  TimePoint startedAt)
{
    const auto serverContext = serverContexts_.find(key);
    if (serverContext == serverContexts_.end()) {
        return;
    }
    serverContext->second.isProbing_ = false;
    serverContext->second.dispatcher_.recordProbe(isAnswered, contact, startedAt, now());
    if (token && isAccepted) {
        serverContext->second.dispatcher_.recordGrantAccepted(*token, running, now());
    }
}

DispatchRights FakeInstance::rightsFor(const FakeCall &call) const
{
    const bool isAddressedToSelf = call.dispatcher_ == table_->self();
    const DispatchRight right = isAddressedToSelf ? table_->rightTo(call.server_, call.request_.range_, call.request_.key_) : DispatchRight::NotDispatcher;
    return {right, coordinator_->leaseExpiry()};
}

void FakeInstance::dispatch(const FakeCall &call, std::function<void(const ClientAnswer &answer)> respond)
{
    const auto serverContext = serverContexts_.find(call.server_);
    if (!table_ || serverContext == serverContexts_.end()) {
        respond({false, {}, Verdict::notRun(RouterError::NotDispatcher)});
        return;
    }
    FakeCall local = call;
    local.request_.deadline_ = now().monotonic_ + call.timeout_;
    const DispatchDecision decision = serverContext->second.dispatcher_.offer(local.request_, rightsFor(call), now());
    switch (decision.kind_) {
    case DispatchDecision::Kind::Rejected:
        respond({false, {}, decision.verdict_});
        break;
    case DispatchDecision::Kind::Queued:
        attempts_[call.correlation_] = {call.server_, decision.ticket_};
        serverContext->second.waiting_.emplace(decision.ticket_, Waiting{local, std::move(respond)});
        takeEvents(call.server_, serverContext->second);
        break;
    case DispatchDecision::Kind::Run:
        write(call.server_, decision.ticket_, local, respond);
        break;
    }
}

void FakeInstance::cancel(std::uint64_t correlation)
{
    const auto attempt = attempts_.find(correlation);
    if (attempt == attempts_.end()) {
        return;
    }
    const auto [server, ticket] = attempt->second;
    attempts_.erase(attempt);
    const auto serverContext = serverContexts_.find(server);
    if (serverContext != serverContexts_.end() && serverContext->second.dispatcher_.withdraw(ticket)) {
        const Waiting waiting = std::move(serverContext->second.waiting_.at(ticket));
        serverContext->second.waiting_.erase(ticket);
        waiting.respond_({false, {}, Verdict::notRun(RouterError::DeadlineExceeded)});
        return;
    }
    if (simulation_.canReach(address(), server.server_.value_)) {
        simulation_.events().after(simulation_.latency(), [this, server = server, correlation] {
            simulation_.server(server.server_).cancel(correlation);
        });
    }
}

void FakeInstance::takeEvents(const ServerKey &key, ServerContext &serverContext)
{
    const GateEvents events = serverContext.dispatcher_.takeEvents(now());
    const auto take = [&](Ticket ticket) {
        Waiting waiting = std::move(serverContext.waiting_.at(ticket));
        serverContext.waiting_.erase(ticket);
        return waiting;
    };
    for (const Ticket ticket : events.evicted_) {
        take(ticket).respond_({false, {}, Verdict::notRun(RouterError::QueueFull)});
    }
    for (const Ticket ticket : events.expired_) {
        take(ticket).respond_({false, {}, Verdict::notRun(RouterError::DeadlineExceeded)});
    }
    for (const Ticket ticket : events.ready_) {
        Waiting waiting = take(ticket);
        write(key, ticket, waiting.call_, waiting.respond_);
    }
}

void FakeInstance::write(const ServerKey &key, Ticket ticket, const FakeCall &call, const std::function<void(const ClientAnswer &answer)> &respond)
{
    ServerContext &serverContext = serverContexts_.at(key);
    const Now before = now();
    const auto permission = serverContext.dispatcher_.beginWrite(ticket, rightsFor(call), before);
    if (!permission.isOk()) {
        respond({false, {}, {Execution::NotRun, permission.error()}});
        return;
    }
    attempts_[call.correlation_] = {key, ticket};
    const Duration timeout = permission.value().executionDeadline_ - before.monotonic_;
    const UnixMilliseconds deadline = before.wallClock_ + std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    const ServerRequest request{call.request_.id_, call.request_.key_, permission.value().token_, permission.value().bootId_, deadline, call.correlation_};
    const auto hasEnded = std::make_shared<bool>(false);
    const FencingToken token = permission.value().token_;
    const auto end = [this, key, ticket, call, respond, hasEnded, token](const ServerAnswer &answer) {
        if (std::exchange(*hasEnded, true)) {
            return;
        }
        attempts_.erase(call.correlation_);
        const auto present = serverContexts_.find(key);
        const bool isSameTenure = present != serverContexts_.end() && present->second.dispatcher_.token() == token;
        if (isSameTenure) {
            present->second.dispatcher_.finish(ticket, answer.result_, answer.contact_, now());
            takeEvents(key, present->second);
        }
        const DispatchRights rights = rightsFor(call);
        const bool isStillOwner = (rights.right_ == DispatchRight::Granted || rights.right_ == DispatchRight::Closed) && now().monotonic_ < rights.leaseExpiry_;
        if (answer.result_ == AttemptResult::Answered && !isStillOwner && call.request_.idempotence_ == Idempotence::Idempotent) {
            respond({false, {}, Verdict::ran(RouterError::NoLease)});
        } else if (answer.result_ == AttemptResult::Answered) {
            respond({true, answer.content_, Verdict(Execution::Ran, {})});
        } else {
            respond({false, {}, verdictOf(answer.result_)});
        }
    };
    after(timeout, [end] {
        end({AttemptResult::Lost, {}, {}});
    });
    // The write happens up to 1 ms after the check. If the process is suspended in between, it is delayed without another check.
    after(Duration(simulation_.events().uniform(0ms, 1ms)), [this, key, request, end, process = process_] {
        if (!simulation_.canReach(address(), key.server_.value_)) {
            return;
        }
        simulation_.events().after(simulation_.latency(), [this, key, request, end, process] {
            simulation_.server(key.server_).handle(request, [this, key, end, process](const ServerAnswer &answer) {
                if (process != process_ || !simulation_.canReach(address(), key.server_.value_)) {
                    return;
                }
                after(simulation_.latency(), [end, answer] {
                    end(answer);
                });
            });
        });
    });
}

void FakeInstance::submit(const ClientRequest &request, std::function<void(const ClientAnswer &answer)> respond)
{
    const std::uint64_t id = ++lastRequestContext_;
    RequestContext requestContext;
    requestContext.request_ = request;
    requestContext.respond_ = std::move(respond);
    requestContext.startedAt_ = now().monotonic_;
    requestContext.deadline_ = requestContext.startedAt_ + request.timeout_;
    requestContexts_.emplace(id, std::move(requestContext));
    budgets_[request.customer_].recordRequest();
    attempt(id);
}

void FakeInstance::attempt(std::uint64_t id)
{
    RequestContext &requestContext = requestContexts_.at(id);
    const std::optional<ServerId> avoid = requestContext.attempts_ > 0 ? std::optional(requestContext.lastServer_) : std::nullopt;
    ++requestContext.attempts_;
    ServiceState &state = services_[requestContext.request_.service_];
    if (!table_) {
        attemptEnded(id, {}, now().monotonic_, {false, {}, Verdict::notRun(RouterError::NoOwner)});
        return;
    }
    TargetSelector noStatistics;
    const bool isRandomTarget = simulation_.options().policy_ == EntryPolicy::RandomTarget;
    const auto plan = planRoute(*table_,
                                requestContext.request_.service_,
                                requestContext.request_.key_,
                                isRandomTarget ? noStatistics : state.selector_,
                                avoid,
                                random_,
                                now().monotonic_);
    if (!plan.isOk()) {
        attemptEnded(id, {}, now().monotonic_, {false, {}, {Execution::NotRun, plan.error()}});
        return;
    }
    requestContext.lastServer_ = plan.value().server_.server_;
    const bool isHedgeable = !plan.value().range_ && requestContext.request_.idempotence_ == Idempotence::Idempotent && !isRandomTarget;
    send(id, plan.value());
    if (isHedgeable && requestContexts_.contains(id)) {
        state.hedge_.recordRequest();
        hedgeLater(id, plan.value().server_.server_);
    }
}

void FakeInstance::hedgeLater(std::uint64_t id, const ServerId &first)
{
    const auto delay = services_[requestContexts_.at(id).request_.service_].hedge_.delay();
    if (!delay) {
        return;
    }
    after(*delay, [this, id, first, attempts = requestContexts_.at(id).attempts_] {
        const auto position = requestContexts_.find(id);
        if (position == requestContexts_.end() || position->second.attempts_ != attempts || position->second.outstanding_ != 1) {
            return;
        }
        ServiceState &state = services_[position->second.request_.service_];
        const auto plan =
            planRoute(*table_, position->second.request_.service_, position->second.request_.key_, state.selector_, first, random_, now().monotonic_);
        if (plan.isOk() && plan.value().server_.server_ != first && state.hedge_.tryTake()) {
            ++hedges_;
            send(id, plan.value());
        }
    });
}

void FakeInstance::send(std::uint64_t id, const RoutePlan &plan)
{
    RequestContext &requestContext = requestContexts_.at(id);
    const TimePoint sentAt = now().monotonic_;
    if (!plan.range_) {
        services_[plan.server_.service_].selector_.statistics(plan.server_.server_).recordSent();
    }
    FakeCall call;
    call.server_ = plan.server_;
    call.dispatcher_ = plan.dispatcher_;
    call.correlation_ = simulation_.events().random()();
    call.timeout_ = requestContext.deadline_ - sentAt;
    call.request_.customer_ = requestContext.request_.customer_;
    call.request_.range_ = plan.range_;
    call.request_.key_ = requestContext.request_.key_;
    call.request_.id_ = requestContext.request_.id_;
    call.request_.idOrigin_ = requestContext.idOrigin_;
    call.request_.idempotence_ = requestContext.request_.idempotence_;
    call.request_.priority_ = requestContext.request_.priority_;
    ++requestContext.outstanding_;
    requestContext.calls_.emplace_back(call, plan.address_);
    simulation_.call(address(), plan.address_, call, [this, id, plan, sentAt, process = process_](const ClientAnswer &answer) {
        if (process == process_) {
            run([this, id, plan, sentAt, answer] {
                attemptEnded(id, plan, sentAt, answer);
            });
        }
    });
}

void FakeInstance::attemptEnded(std::uint64_t id, const RoutePlan &plan, TimePoint sentAt, const ClientAnswer &answer)
{
    const TimePoint present = now().monotonic_;
    const bool isShared = !plan.range_ && !plan.server_.server_.isEmpty();
    if (isShared) {
        TargetStatistics &statistics = services_[plan.server_.service_].selector_.statistics(plan.server_.server_);
        if (answer.isAnswered_) {
            statistics.recordAnswered(present - sentAt);
            services_[plan.server_.service_].hedge_.recordAnswered(present - sentAt);
        } else if (answer.verdict_.isReason(RouterError::DeadlineExceeded)) {
            statistics.recordTimedOut(present - sentAt);
        } else {
            statistics.recordFailed(present);
        }
    }
    const auto position = requestContexts_.find(id);
    if (position == requestContexts_.end()) {
        return;
    }
    RequestContext &requestContext = position->second;
    requestContext.outstanding_ -= plan.server_.server_.isEmpty() ? 0 : 1;
    if (answer.isAnswered_) {
        finishRequest(id, answer);
        return;
    }
    requestContext.worst_ = std::max(requestContext.worst_, answer.verdict_.execution());
    if (requestContext.outstanding_ > 0) {
        return;
    }
    const AttemptHistory history{requestContext.request_.idempotence_, requestContext.attempts_, requestContext.deadline_};
    const RetryDecision decision = decideRetry(answer.verdict_, history, budgets_[requestContext.request_.customer_], random_, present);
    if (decision.kind_ == RetryDecision::Kind::GiveUp) {
        finishRequest(id, {false, {}, {requestContext.worst_, answer.verdict_.reason()}});
        return;
    }
    ++retries_;
    after(decision.delay_, [this, id] {
        if (requestContexts_.contains(id)) {
            attempt(id);
        }
    });
}

void FakeInstance::finishRequest(std::uint64_t id, const ClientAnswer &answer)
{
    const RequestContext requestContext = std::move(requestContexts_.at(id));
    requestContexts_.erase(id);
    if (requestContext.outstanding_ > 0) {
        for (const auto &[call, target] : requestContext.calls_) {
            simulation_.send(address(), target, [correlation = call.correlation_](FakeInstance &dispatcher) {
                dispatcher.cancel(correlation);
            });
        }
    }
    requestContext.respond_(answer);
}

} // namespace Goldcrestwall
