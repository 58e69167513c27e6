// Target selector: statistics, outlier detection and power of two choices.
#include <LibAdmission/TargetSelector.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr double LatencySmoothing = 0.2;
// An outlier has more than this many times the median latency of its service.
constexpr double OutlierFactor = 3;
// One in this many selections may choose an outlier, so that its recovery is detected.
constexpr std::uint64_t OutlierProbeInterval = 256;
// A server is ejected after this many consecutive failures, for the ejection time.
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
    // The time waited is a lower bound of the latency, so it may only raise the estimate.
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
    // 1. Prefer servers that are neither ejected nor outliers; fall back to any server other than `avoid`.
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
    // 2. Compare two random servers and take the one with the lower score.
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
