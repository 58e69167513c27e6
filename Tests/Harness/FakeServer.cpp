// Implements a backend server in simulated time.
#include <Tests/Harness/FakeServer.h>

#include <cmath>

namespace Goldcrestwall {

namespace {

constexpr UnixMilliseconds WallClockStart = 1800000000000;
constexpr double CollapseSlowdownFactor = 50;

} // namespace

UnixMilliseconds wallClockTime(TimePoint time)
{
    return WallClockStart + std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

FakeServer::FakeServer(EventQueue &events, ServerId id, FakeServerOptions options, std::vector<Run> &runs)
    : events_(events)
    , id_(std::move(id))
    , options_(options)
    , runs_(runs)
{
}

ServerContact FakeServer::describe() const
{
    return {id_.value_ + "/" + std::to_string(boot_), isDraining_};
}

bool FakeServer::isLate(const ServerRequest &request) const
{
    return wallClockTime(events_.now()) > request.deadline_;
}

void FakeServer::handle(const ServerRequest &request, Respond respond)
{
    if (isDead_) {
        respond({AttemptResult::NotWritten, {}, {}});
        return;
    }
    if (isSuspended_) {
        deferredArrivals_.emplace_back([this, request, respond = std::move(respond)] {
            process(request, respond);
        });
        return;
    }
    process(request, std::move(respond));
}

void FakeServer::process(const ServerRequest &request, Respond respond)
{
    ++arrivals_;
    // 1. Reject requests that must not run.
    if (!request.bootId_.empty() && request.bootId_ != describe().bootId_) {
        respond({AttemptResult::NotWritten, describe(), {}});
        return;
    }
    if (options_.checksTokens_ && (highestToken_ == 0 || request.token_ < highestToken_)) {
        respond({AttemptResult::StaleToken, describe(), {}});
        return;
    }
    highestToken_ = std::max(highestToken_, request.token_);
    if (isLate(request)) {
        respond({AttemptResult::Late, describe(), {}});
        return;
    }
    if (isDraining_) {
        respond({AttemptResult::Draining, describe(), {}});
        return;
    }
    // 2. A warm server sheds requests beyond its slots. A cold one accepts all of them and becomes very slow.
    const bool isCold = served_ < options_.warmupRequests_;
    if (!isCold && executions_.size() >= options_.slots_) {
        respond({AttemptResult::Shed, describe(), {}});
        return;
    }
    const bool isCollapsing = isCold && executions_.size() >= options_.coldSlots_;
    collapses_ += isCollapsing ? 1 : 0;
    // 3. Run for an exponentially distributed time plus a constant, half of the mean each.
    const double factor = slowdownFactor_ * (isCollapsing ? CollapseSlowdownFactor : 1) * (0.5 - 0.5 * std::log(1 - events_.uniform()));
    const Duration needed(static_cast<Duration::rep>(factor * static_cast<double>(options_.serviceTime_.count())));
    // Execution stops at the deadline even if it is not complete.
    const Duration left = std::chrono::milliseconds(request.deadline_ + 1 - wallClockTime(events_.now()));
    const Duration time = std::min(needed, left);
    const std::uint64_t execution = ++lastExecution_;
    executions_.emplace(execution, Execution{request, events_.now(), time, std::move(respond)});
    events_.after(time, [this, execution, boot = boot_] {
        if (boot == boot_) {
            finish(execution);
        }
    });
}

void FakeServer::finish(std::uint64_t id)
{
    if (isSuspended_) {
        deferredFinishes_.insert(id);
        return;
    }
    const auto position = executions_.find(id);
    if (position == executions_.end()) {
        return;
    }
    const Execution execution = std::move(position->second);
    executions_.erase(position);
    busy_ += events_.now() - execution.startedAt_;
    const bool isStale = options_.checksTokens_ && execution.request_.token_ < highestToken_;
    if (isLate(execution.request_) || isStale) {
        execution.respond_({isStale ? AttemptResult::StaleToken : AttemptResult::Late, describe(), {}});
        return;
    }
    ++served_;
    ++servedTotal_;
    const std::string content = id_.value_ + "|" + execution.request_.key_ + "|" + execution.request_.id_.value_ + "|" + std::to_string(servedTotal_);
    runs_.push_back({id_, execution.request_.id_, execution.request_.key_, execution.request_.token_, execution.startedAt_, events_.now(), content});
    execution.respond_({AttemptResult::Answered, describe(), content});
}

void FakeServer::contact(std::optional<FencingToken> token, std::function<void(bool isAccepted, std::uint32_t running, const ServerContact &contact)> respond)
{
    if (isDead_) {
        return;
    }
    auto answer = [this, token, respond = std::move(respond)] {
        const bool isAccepted = !token || *token >= highestToken_;
        if (token && isAccepted) {
            highestToken_ = *token;
        }
        respond(isAccepted, static_cast<std::uint32_t>(executions_.size()), describe());
    };
    if (isSuspended_) {
        deferredArrivals_.emplace_back(std::move(answer));
    } else {
        answer();
    }
}

void FakeServer::cancel(std::uint64_t correlation)
{
    if (isDead_ || isSuspended_) {
        return;
    }
    std::erase_if(executions_, [&](auto &entry) {
        if (entry.second.request_.correlation_ != correlation) {
            return false;
        }
        busy_ += events_.now() - entry.second.startedAt_;
        entry.second.respond_({AttemptResult::Cancelled, describe(), {}});
        return true;
    });
}

void FakeServer::kill()
{
    isDead_ = true;
    ++boot_;
    // All connections are reset, so the callers learn that their responses are lost.
    std::map<std::uint64_t, Execution> lost;
    lost.swap(executions_);
    deferredArrivals_.clear();
    deferredFinishes_.clear();
    isSuspended_ = false;
    for (const auto &[id, execution] : lost) {
        execution.respond_({AttemptResult::Lost, {}, {}});
    }
}

void FakeServer::restart()
{
    if (!isDead_) {
        kill();
    }
    isDead_ = false;
    highestToken_ = 0;
    served_ = 0;
}

void FakeServer::setSuspended(bool isSuspended)
{
    isSuspended_ = isSuspended;
    if (isSuspended) {
        return;
    }
    std::vector<std::function<void()>> arrivals;
    arrivals.swap(deferredArrivals_);
    std::set<std::uint64_t> finishes;
    finishes.swap(deferredFinishes_);
    for (const std::uint64_t id : finishes) {
        finish(id);
    }
    for (const auto &arrival : arrivals) {
        arrival();
    }
}

} // namespace Goldcrestwall
