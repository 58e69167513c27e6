#include <LibAdmission/TargetSelector.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr double LatencySmoothing = 0.2;
// An outlier is this many times slower than the median of its siblings.
constexpr double OutlierFactor = 3;
// One in this many selections may go to an outlier, so that its recovery shows.
constexpr std::uint64_t OutlierProbeInterval = 256;
// After this many failures in a row a server rests.
constexpr std::uint32_t EjectAfterFailures = 3;
constexpr Duration EjectionTime = 1s;

} // namespace

void TargetStatistics::recordAnswered(Duration latency)
{
    outstanding_ -= outstanding_ > 0 ? 1 : 0;
    failures_ = 0;
    smooth(static_cast<double>(latency.count()));
}

void TargetStatistics::recordTimedOut(Duration waited)
{
    outstanding_ -= outstanding_ > 0 ? 1 : 0;
    // The true latency is unknown but no less than this, so it may only raise the estimate.
    if (static_cast<double>(waited.count()) > latencyMicroseconds_) {
        smooth(static_cast<double>(waited.count()));
    }
}

void TargetStatistics::recordFailed(TimePoint now)
{
    outstanding_ -= outstanding_ > 0 ? 1 : 0;
    if (++failures_ >= EjectAfterFailures) {
        ejectedUntil_ = now + EjectionTime;
    }
}

void TargetStatistics::smooth(double microseconds)
{
    latencyMicroseconds_ += (hasLatency() ? LatencySmoothing : 1) * (microseconds - latencyMicroseconds_);
}

std::optional<ServerId>
TargetSelector::select(const std::vector<ServerId> &candidates, const std::optional<ServerId> &avoid, std::mt19937_64 &random, TimePoint now)
{
    // 1. Prefer servers that neither rest nor are outliers; fall back step by step when none is left.
    const bool admitsOutliers = random() % OutlierProbeInterval == 0;
    std::vector<ServerId> preferred;
    std::vector<ServerId> allowed;
    for (const ServerId &candidate : candidates) {
        if (avoid && candidate == *avoid) {
            continue;
        }
        allowed.push_back(candidate);
        const bool isEjected = statistics_[candidate].isEjected(now);
        if (!isEjected && (admitsOutliers || !isOutlier(candidate, candidates))) {
            preferred.push_back(candidate);
        }
    }
    const std::vector<ServerId> &pool = preferred.empty() ? allowed : preferred;
    if (pool.empty()) {
        return std::nullopt;
    }
    // 2. Compare two random ones.
    const ServerId &first = pool[random() % pool.size()];
    const ServerId &second = pool[random() % pool.size()];
    return score(first) <= score(second) ? first : second;
}

bool TargetSelector::isOutlier(const ServerId &server, const std::vector<ServerId> &siblings) const
{
    const auto own = statistics_.find(server);
    if (own == statistics_.end() || !own->second.hasLatency()) {
        return false;
    }
    const double median = medianLatency(siblings);
    return median > 0 && own->second.latencyMicroseconds() > OutlierFactor * median;
}

void TargetSelector::retain(const std::vector<ServerId> &servers)
{
    std::erase_if(statistics_, [&](const auto &entry) {
        return std::find(servers.begin(), servers.end(), entry.first) == servers.end();
    });
}

double TargetSelector::medianLatency(const std::vector<ServerId> &servers) const
{
    std::vector<double> latencies;
    for (const ServerId &server : servers) {
        const auto known = statistics_.find(server);
        if (known != statistics_.end() && known->second.hasLatency()) {
            latencies.push_back(known->second.latencyMicroseconds());
        }
    }
    if (latencies.size() < 3) {
        return 0;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

double TargetSelector::score(const ServerId &server) const
{
    const auto known = statistics_.find(server);
    if (known == statistics_.end()) {
        return 0;
    }
    return (known->second.outstanding() + 1) * std::max(1.0, known->second.latencyMicroseconds());
}

} // namespace Goldcrestwall
