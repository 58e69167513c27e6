// What a pool concludes from a server's responses, failures and health checks.
#include "PoolServer.h"

#include <algorithm>
#include <cmath>

namespace Goldcrestwall::Gateway {

namespace {

// Penalty on the expected completion for a server that fails all its requests.
constexpr Duration FailurePenalty = 300ms;
constexpr double FailureLearningRate = 0.2;
constexpr double FailureHalfLifeSeconds = 2;
constexpr Duration ShedBackoff = 30ms;
constexpr Duration InitialUnreachableBackoff = 200ms;
constexpr std::uint32_t MaxBackoffDoublings = 3;
// How long a server stays suspect without a further failure.
constexpr Duration SuspectLifetime = 2500ms;
// A server that has been suspect for longer, without a successful health check, is not eligible to hold keys.
constexpr Duration MaxSuspicion = 1s;

void updateRate(std::optional<SharedRate> &rate, const std::optional<RateAllowance> &allowance, TimePoint now)
{
    if (!allowance) {
        rate.reset();
        return;
    }
    if (!rate) {
        rate.emplace();
    }
    if (rate->allowance() != *allowance) {
        rate->setAllowance(*allowance, now);
    }
}

} // namespace

bool PoolServer::isSuspect(TimePoint now) const
{
    return now < suspectUntil_;
}

void PoolServer::setSuspect(TimePoint now)
{
    if (!isSuspect(now)) {
        suspectSince_ = now;
    }
    suspectUntil_ = now + SuspectLifetime;
}

bool PoolServer::isSuspectTooLong(TimePoint now) const
{
    return isSuspect(now) && now - suspectSince_ > MaxSuspicion;
}

bool PoolServer::isCold(TimePoint now) const
{
    return isSuspect(now) || now < coldUntil_;
}

void PoolServer::setWarmupAllowance(const std::optional<RateAllowance> &allowance, TimePoint now)
{
    updateRate(warmupRate_, allowance, now);
}

void PoolServer::setLimitAllowance(const std::optional<RateAllowance> &allowance, TimePoint now)
{
    updateRate(limitRate_, allowance, now);
}

TimePoint PoolServer::nextRequestAt(TimePoint now, std::mt19937_64 &random)
{
    TimePoint next = now;
    if (isCold(now) && warmupRate_) {
        next = std::max(next, warmupRate_->nextAt(now, random));
    }
    if (limitRate_) {
        next = std::max(next, limitRate_->nextAt(now, random));
    }
    return next;
}

Duration PoolServer::requestInterval(TimePoint now) const
{
    Duration interval = limitRate_ ? limitRate_->interval() : Duration::zero();
    if (isCold(now) && warmupRate_) {
        interval = std::max(interval, warmupRate_->interval());
    }
    return interval;
}

void PoolServer::countRequest(TimePoint now)
{
    if (isCold(now) && warmupRate_) {
        warmupRate_->take(now);
    }
    if (limitRate_) {
        limitRate_->take(now);
    }
}

void PoolServer::uncountRequest(TimePoint now)
{
    if (isCold(now) && warmupRate_) {
        warmupRate_->giveBack(now);
    }
    if (limitRate_) {
        limitRate_->giveBack(now);
    }
}

Duration PoolServer::failurePenalty(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - failedAt_).count();
    return scaled(FailurePenalty, failureShare_ * std::exp2(-age / FailureHalfLifeSeconds));
}

void PoolServer::recordLoad(const ReportedLoad &load, TimePoint now)
{
    speed_.recordReport(load.delayFactor_, now);
    const std::uint32_t all = load.running_ + load.waiting_;
    const auto own = static_cast<std::uint32_t>(running_.size());
    foreignRequests_ = all > own ? all - own : 0;
    foreignReportedAt_ = now;
}

void PoolServer::recordSuccess()
{
    failureShare_ *= 1 - FailureLearningRate;
    unreachableCount_ = 0;
    backoffUntil_ = TimePoint();
}

void PoolServer::recordFailure(PlacementOutcome outcome, TimePoint now)
{
    if (outcome == PlacementOutcome::Unreachable) {
        const std::uint32_t doublings = std::min(unreachableCount_, MaxBackoffDoublings);
        backoffUntil_ = now + InitialUnreachableBackoff * (1U << doublings);
        ++unreachableCount_;
        setSuspect(now);
        return;
    }
    failureShare_ += FailureLearningRate * (1 - failureShare_);
    failedAt_ = now;
    if (outcome == PlacementOutcome::Shed) {
        backoffUntil_ = std::max(backoffUntil_, now + ShedBackoff);
    } else {
        setSuspect(now);
    }
}

void PoolServer::recordHealthCheck(Duration warmupLeft, const std::optional<ReportedLoad> &load, TimePoint now)
{
    hasPassedHealthCheck_ = true;
    suspectUntil_ = TimePoint();
    unreachableCount_ = 0;
    backoffUntil_ = TimePoint();
    coldUntil_ = warmupLeft > Duration::zero() ? now + warmupLeft : TimePoint();
    if (load) {
        speed_.recordReport(load->delayFactor_, now);
    }
}

} // namespace Goldcrestwall::Gateway
