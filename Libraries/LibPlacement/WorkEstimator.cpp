// Estimates service times from finished requests and reported load.
#include "WorkEstimator.h"

#include <algorithm>
#include <cmath>

namespace Goldcrestwall::Gateway {

namespace {

// How long a reported delay factor describes the current state of the server's machine.
constexpr Duration ReportLifetime = 400ms;
// Delay factor assumed for a server that has never reported one.
constexpr double UnreportedFactor = 1.2;
constexpr double MeanTimeConstantSeconds = 3;
constexpr double SpeedLearningRate = 0.015;
// Weight, in samples, of the initial assumption that a server is as fast as the others.
constexpr std::uint32_t PriorSampleCount = 4;
constexpr double WorkLearningRate = 0.03;
constexpr std::uint32_t InitialSampleCount = 20;
constexpr double MinSlowness = 0.2;
constexpr double MaxSlowness = 20;
// Limits the influence of a single request, since service times vary.
constexpr double MaxRatio = 4;

} // namespace

void ServerSpeed::recordReport(double delayFactor, TimePoint now)
{
    if (isReported()) {
        // Weighted by age, since reports in quick succession describe the same state.
        const double age = std::chrono::duration<double>(now - reportedAt_).count();
        meanFactor_ += (1 - std::exp(-age / MeanTimeConstantSeconds)) * (delayFactor - meanFactor_);
    } else {
        meanFactor_ = delayFactor;
    }
    delayFactor_ = delayFactor;
    reportedAt_ = now;
}

double ServerSpeed::typicalFactor() const
{
    return slowness_ * (isReported() ? meanFactor_ : UnreportedFactor);
}

double ServerSpeed::factor(TimePoint now) const
{
    return isReported() && now - reportedAt_ < ReportLifetime ? slowness_ * delayFactor_ : typicalFactor();
}

double ServerSpeed::factorAt(TimePoint begin, TimePoint now) const
{
    const double usual = typicalFactor();
    const double ahead = std::chrono::duration<double>(begin - now) / std::chrono::duration<double>(ReportLifetime);
    return usual + (factor(now) - usual) * std::exp(-std::max(0.0, ahead));
}

Duration WorkEstimator::typicalWork(const std::string &kind, Duration fallback) const
{
    const auto found = work_.find(kind);
    return found == work_.end() ? fallback : Duration(static_cast<Duration::rep>(found->second.microseconds_));
}

void WorkEstimator::learn(const std::string &kind, ServerSpeed &speed, Duration duration, TimePoint now)
{
    const double observed = std::max<double>(static_cast<double>(duration.count()), 100);
    const double factor = speed.factor(now);
    auto &work = work_[kind];
    ++work.samples_;
    if (work.samples_ == 1) {
        work.microseconds_ = observed / factor;
        return;
    }
    const double ratio = std::clamp(observed / (work.microseconds_ * factor), 1 / MaxRatio, MaxRatio);
    ++speed.samples_;
    const double speedRate = std::max(SpeedLearningRate, 1.0 / (speed.samples_ + PriorSampleCount));
    speed.slowness_ = std::clamp(speed.slowness_ * (1 + speedRate * (ratio - 1)), MinSlowness, MaxSlowness);
    const double rate = std::max(WorkLearningRate, work.samples_ < InitialSampleCount ? 1.0 / work.samples_ : 0);
    work.microseconds_ *= 1 + rate * (ratio - 1);
}

} // namespace Goldcrestwall::Gateway
