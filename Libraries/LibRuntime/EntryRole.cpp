// Entry role: attempts, retries, hedging, peer calls and request traces.
#include <LibRuntime/EntryRole.h>

#include <boost/asio/post.hpp>

#include <condition_variable>
#include <thread>

namespace Goldcrestwall {

namespace {

constexpr std::size_t HedgeThreads = 64;
// Successful requests slower than this are traced too.
constexpr Duration SlowRequest = 1s;
// The dispatcher responds by the deadline; the grace period covers the network latency of its response.
constexpr Duration ResponseGrace = 50ms;
constexpr Duration CancelTimeout = 500ms;
// Polling interval while an instance that has just started waits for all records.
constexpr Duration TablePollInterval = 10ms;

} // namespace

void RequestTraces::add(RequestTrace trace)
{
    const std::lock_guard lock(mutex_);
    traces_.push_back(std::move(trace));
    if (traces_.size() > Capacity) {
        traces_.pop_front();
    }
}

std::vector<RequestTrace> RequestTraces::find(const RequestId &id, std::size_t limit) const
{
    const std::lock_guard lock(mutex_);
    std::vector<RequestTrace> found;
    for (auto trace = traces_.rbegin(); trace != traces_.rend() && found.size() < limit; ++trace) {
        if (id.isEmpty() || trace->id_ == id) {
            found.push_back(*trace);
        }
    }
    return found;
}

// Up to two concurrent attempts of one request; the first complete response wins.
class EntryRole::HedgedAttempt
{
public:
    // Stores the result of one attempt.
    void finish(std::size_t index, DispatchReply reply)
    {
        const std::lock_guard lock(mutex_);
        replies_[index] = std::move(reply);
        condition_.notify_all();
    }

    // Waits until an attempt is answered, all `started` attempts have ended, or `time` is reached.
    void waitUntil(TimePoint time, std::size_t started)
    {
        std::unique_lock lock(mutex_);
        const auto until = std::chrono::steady_clock::now() + (time - monotonicNow());
        condition_.wait_until(lock, until, [&] {
            return isDecided(started);
        });
    }

    // The first response, or else the verdict that is least certain that the request has not run; nothing while undecided.
    std::optional<DispatchReply> result(std::size_t started)
    {
        const std::lock_guard lock(mutex_);
        if (!isDecided(started)) {
            return std::nullopt;
        }
        std::optional<DispatchReply> leastCertain;
        for (std::size_t index = 0; index < started; ++index) {
            const auto &reply = replies_[index];
            if (reply && reply->isAnswered_) {
                return reply;
            }
            if (reply && (!leastCertain || leastCertain->verdict_.execution() == Execution::NotRun)) {
                leastCertain = reply;
            }
        }
        return leastCertain;
    }

    bool hasEnded(std::size_t index)
    {
        const std::lock_guard lock(mutex_);
        return replies_[index].has_value();
    }

private:
    bool isDecided(std::size_t started) const
    {
        std::size_t ended = 0;
        for (const auto &reply : replies_) {
            if (reply && reply->isAnswered_) {
                return true;
            }
            ended += reply ? 1 : 0;
        }
        return ended >= started;
    }

    std::mutex mutex_;
    std::condition_variable condition_;
    std::array<std::optional<DispatchReply>, 2> replies_;
};

EntryRole::EntryRole(RoutingView &view, DispatchTable &dispatchers, MetricRegistry &metrics, std::string address)
    : view_(view)
    , dispatchers_(dispatchers)
    , metrics_(metrics)
    , address_(std::move(address))
    , lastCorrelation_(static_cast<std::uint64_t>(unixNow()) << 20)
    , hedgeThreads_(HedgeThreads)
{
}

EntryRole::~EntryRole()
{
    hedgeThreads_.join();
}

CallerAnswer EntryRole::handle(const CallerRequest &request)
{
    RequestContext requestContext{request, {}, request.id_, IdOrigin::Caller, monotonicNow(), {}, 0, {}};
    requestContext.deadline_ = requestContext.startedAt_ + request.timeout_;
    // 1. Apply the customer's terms.
    const auto table = awaitCompleteTable(requestContext.deadline_);
    if (!table) {
        return {std::nullopt, Verdict::notRun(RouterError::NoOwner), "the instance has no configuration yet"};
    }
    {
        const std::lock_guard lock(mutex_);
        const auto grant = access_.admit(request.access_, *table, requestContext.startedAt_);
        if (!grant.isOk()) {
            metrics_.increment("refused_total", {{"reason", errorName(grant.error())}});
            return {std::nullopt,
                    {Execution::NotRun, grant.error()},
                    "terms of " + request.access_.customer_.value_ + " at " + request.access_.service_.service_.value_};
        }
        requestContext.grant_ = grant.value();
        budgets_[request.access_.customer_].recordRequest();
    }
    if (requestContext.id_.isEmpty()) {
        requestContext.id_ = makeRequestId(unixNow(), random()());
        requestContext.idOrigin_ = IdOrigin::Entry;
    }
    // 2. Attempt the request until it is answered or may not be retried.
    Execution leastCertain = Execution::NotRun;
    DispatchReply reply;
    while (true) {
        reply = attempt(requestContext);
        ++requestContext.attempts_;
        if (reply.isAnswered_) {
            break;
        }
        leastCertain = std::max(leastCertain, reply.verdict_.execution());
        RetryDecision decision;
        {
            const std::lock_guard lock(mutex_);
            const AttemptHistory history{request.idempotence_, requestContext.attempts_, requestContext.deadline_};
            decision = decideRetry(reply.verdict_, history, budgets_[request.access_.customer_], random(), monotonicNow());
        }
        if (decision.kind_ == RetryDecision::Kind::GiveUp) {
            break;
        }
        std::this_thread::sleep_for(decision.delay_);
    }
    // 3. If an earlier attempt may have run, the final verdict says so, whatever the result of the last attempt.
    if (!reply.isAnswered_) {
        reply.verdict_ = {leastCertain, reply.verdict_.reason()};
    }
    {
        const std::lock_guard lock(mutex_);
        access_.release(request.access_);
    }
    record(requestContext, reply);
    if (reply.isAnswered_) {
        return {std::move(reply.answer_), reply.verdict_, {}};
    }
    return {std::nullopt, reply.verdict_, requestContext.lastServer_.value_};
}

std::shared_ptr<const RoutingTable> EntryRole::awaitCompleteTable(TimePoint deadline) const
{
    while (true) {
        auto table = view_.table();
        if (table && table->isComplete()) {
            return table;
        }
        if (monotonicNow() >= deadline) {
            return nullptr;
        }
        std::this_thread::sleep_for(TablePollInterval);
    }
}

Result<RoutePlan> EntryRole::plan(const RequestContext &requestContext, const std::optional<ServerId> &avoid)
{
    const auto table = view_.table();
    const std::lock_guard lock(mutex_);
    ServiceState &state = services_[requestContext.request_.access_.service_];
    return planRoute(*table, requestContext.request_.access_.service_, requestContext.request_.key_, state.selector_, avoid, random(), monotonicNow());
}

DispatchReply EntryRole::attempt(RequestContext &requestContext)
{
    const std::optional<ServerId> avoid = requestContext.attempts_ > 0 ? std::optional(requestContext.lastServer_) : std::nullopt;
    const auto route = plan(requestContext, avoid);
    if (!route.isOk()) {
        return {false, {}, {Execution::NotRun, route.error()}};
    }
    requestContext.lastServer_ = route.value().server_.server_;
    const bool isHedgeable = !route.value().range_ && requestContext.request_.idempotence_ == Idempotence::Idempotent;
    if (isHedgeable) {
        std::optional<Duration> delay;
        {
            const std::lock_guard lock(mutex_);
            HedgePolicy &policy = services_[requestContext.request_.access_.service_].hedge_;
            policy.recordRequest();
            delay = policy.delay();
        }
        if (delay) {
            return attemptHedged(requestContext, route.value(), *delay);
        }
    }
    return send(requestContext, route.value(), makeCorrelation());
}

DispatchReply EntryRole::attemptHedged(RequestContext &requestContext, const RoutePlan &first, Duration delay)
{
    const auto attempt = std::make_shared<HedgedAttempt>();
    const std::array<std::string, 2> correlations{makeCorrelation(), makeCorrelation()};
    std::array<RoutePlan, 2> plans{first, first};
    // This call may return while the slower attempt still runs, so the attempts work on shared copies.
    const auto request = std::make_shared<const CallerRequest>(requestContext.request_);
    const auto start = [&](std::size_t index) {
        const RequestContext copy{*request,
                                  requestContext.grant_,
                                  requestContext.id_,
                                  requestContext.idOrigin_,
                                  requestContext.startedAt_,
                                  requestContext.deadline_,
                                  requestContext.attempts_,
                                  {}};
        boost::asio::post(hedgeThreads_, [this, request, copy, attempt, index, plan = plans[index], correlation = correlations[index]] {
            attempt->finish(index, send(copy, plan, correlation));
        });
    };
    // 1. Start the first attempt and wait for it for the hedge delay.
    start(0);
    std::size_t started = 1;
    attempt->waitUntil(std::min(requestContext.deadline_, monotonicNow() + delay), started);
    // 2. Without a response by then, start a second attempt at another server if the budget permits.
    if (!attempt->result(started)) {
        auto second = plan(requestContext, first.server_.server_);
        bool isGranted = false;
        if (second.isOk() && second.value().server_ != first.server_) {
            const std::lock_guard lock(mutex_);
            isGranted = services_[requestContext.request_.access_.service_].hedge_.tryTake();
        }
        if (isGranted) {
            plans[1] = second.value();
            start(1);
            started = 2;
            metrics_.increment("hedges_total", {{"service", first.server_.service_.service_.value_}});
        }
        attempt->waitUntil(requestContext.deadline_ + ResponseGrace, started);
    }
    // 3. Cancel attempts that still run.
    for (std::size_t index = 0; index < started; ++index) {
        if (!attempt->hasEnded(index)) {
            cancel(plans[index], correlations[index]);
        }
    }
    const auto result = attempt->result(started);
    return result ? *result : DispatchReply{false, {}, Verdict::mayHaveRun(RouterError::DeadlineExceeded)};
}

DispatchReply EntryRole::send(const RequestContext &requestContext, const RoutePlan &plan, const std::string &correlation)
{
    const TimePoint sentAt = monotonicNow();
    const Duration timeout = requestContext.deadline_ - sentAt;
    if (timeout <= Duration::zero()) {
        return {false, {}, Verdict::notRun(RouterError::DeadlineExceeded)};
    }
    if (!plan.range_) {
        const std::lock_guard lock(mutex_);
        services_[plan.server_.service_].selector_.statistics(plan.server_.server_).recordSent();
    }
    const DispatchCall call = makeCall(requestContext, plan, correlation);
    DispatchReply reply = plan.address_ == address_ ? dispatchers_.dispatch(call, sentAt) : sendToPeer(plan, call, timeout);
    if (!plan.range_) {
        recordResult(plan, reply, monotonicNow() - sentAt);
    }
    return reply;
}

DispatchCall EntryRole::makeCall(const RequestContext &requestContext, const RoutePlan &plan, const std::string &correlation) const
{
    DispatchCall call;
    call.service_ = plan.server_.service_;
    call.server_ = plan.server_.server_;
    call.dispatcher_ = plan.dispatcher_;
    call.hasRange_ = plan.range_.has_value();
    call.range_ = plan.range_.value_or(KeyRange());
    call.key_ = requestContext.request_.key_;
    call.customer_ = requestContext.request_.access_.customer_;
    call.share_ = requestContext.grant_.share_;
    call.priority_ = static_cast<std::uint8_t>(requestContext.grant_.priority_);
    call.id_ = requestContext.id_;
    call.idOrigin_ = static_cast<std::uint8_t>(requestContext.idOrigin_);
    call.idempotence_ = static_cast<std::uint8_t>(requestContext.request_.idempotence_);
    call.timeoutMicroseconds_ = (requestContext.deadline_ - monotonicNow()).count();
    call.correlation_ = correlation;
    call.content_ = requestContext.request_.content_;
    return call;
}

DispatchReply EntryRole::sendToPeer(const RoutePlan &plan, const DispatchCall &call, Duration timeout)
{
    std::promise<PeerReply> promise;
    std::future<PeerReply> future = promise.get_future();
    transport_->call(plan.address_, PeerChannel::Dispatch, encode(call), timeout + ResponseGrace, [&promise](PeerReply reply) {
        promise.set_value(std::move(reply));
    });
    const PeerReply reply = future.get();
    if (!reply.body_) {
        return {false, {}, reply.wasSent_ ? Verdict::mayHaveRun(RouterError::PeerUnreachable) : Verdict::notRun(RouterError::PeerUnreachable)};
    }
    auto decoded = decode<DispatchReply>(*reply.body_);
    return decoded ? std::move(*decoded) : DispatchReply{false, {}, Verdict::mayHaveRun(RouterError::MalformedMessage)};
}

void EntryRole::recordResult(const RoutePlan &plan, const DispatchReply &reply, Duration latency)
{
    const std::lock_guard lock(mutex_);
    ServiceState &state = services_[plan.server_.service_];
    TargetStatistics &statistics = state.selector_.statistics(plan.server_.server_);
    if (reply.isAnswered_) {
        statistics.recordAnswered(latency);
        state.hedge_.recordAnswered(latency);
    } else if (reply.verdict_.isReason(RouterError::DeadlineExceeded)) {
        statistics.recordTimedOut(latency);
    } else {
        statistics.recordFailed(monotonicNow());
    }
}

void EntryRole::cancel(const RoutePlan &plan, const std::string &correlation)
{
    if (plan.address_ == address_) {
        boost::asio::post(hedgeThreads_, [this, correlation] {
            dispatchers_.cancel(correlation);
        });
        return;
    }
    transport_->call(plan.address_, PeerChannel::Cancel, correlation, CancelTimeout, [](const PeerReply &) {});
}

std::string EntryRole::makeCorrelation()
{
    return address_ + "/" + std::to_string(++lastCorrelation_);
}

std::mt19937_64 &EntryRole::random()
{
    thread_local std::mt19937_64 generator{std::random_device()()};
    return generator;
}

void EntryRole::record(const RequestContext &requestContext, const DispatchReply &reply)
{
    const Duration elapsed = monotonicNow() - requestContext.startedAt_;
    const AccessRequest &access = requestContext.request_.access_;
    const std::string verdict = reply.isAnswered_ ? "answered" : executionName(reply.verdict_.execution());
    const MetricLabels labels{{"service", access.service_.service_.value_}, {"customer", access.customer_.value_}, {"verdict", verdict}};
    metrics_.increment("requests_total", labels);
    metrics_.observe("request_seconds", {{"service", access.service_.service_.value_}}, elapsed);
    if (requestContext.attempts_ > 1) {
        metrics_.increment("retries_total", {{"service", access.service_.service_.value_}}, static_cast<std::uint64_t>(requestContext.attempts_ - 1));
    }
    if (!reply.isAnswered_ || elapsed > SlowRequest) {
        traces_.add({requestContext.id_,
                     access.service_,
                     access.customer_,
                     requestContext.lastServer_,
                     unixNow(),
                     elapsed,
                     requestContext.attempts_,
                     reply.isAnswered_,
                     reply.verdict_});
    }
}

} // namespace Goldcrestwall
