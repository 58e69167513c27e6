// Server selection for requests that any server of a service may run.
#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Goldcrestwall {

// Statistics of one server, from the requests of this entry.
class TargetStatistics
{
public:
    void recordSent()
    {
        ++outstanding_;
    }
    void recordAnswered(Duration latency);
    // The request timed out; its latency is at least `waited`.
    void recordTimedOut(Duration waited);
    void recordFailed(TimePoint now);

    std::uint32_t outstanding() const
    {
        return outstanding_;
    }
    double latencyMicroseconds() const
    {
        return latencyMicroseconds_;
    }
    bool isEjected(TimePoint now) const
    {
        return now < ejectedUntil_;
    }
    bool hasLatency() const
    {
        return latencyMicroseconds_ > 0;
    }

private:
    void smooth(double microseconds);

    std::uint32_t outstanding_ = 0;
    std::uint32_t failures_ = 0;
    double latencyMicroseconds_ = 0;
    TimePoint ejectedUntil_;
};

// Power of two choices, weighted by latency and outstanding requests. A server whose latency is several times the median of its service
// is an outlier and gets only a few requests, enough to detect its recovery.
class TargetSelector
{
public:
    // Selects one of the candidates other than `avoid`; nothing if there is none.
    std::optional<ServerId> select(const std::vector<ServerId> &candidates, const std::optional<ServerId> &avoid, std::mt19937_64 &random, TimePoint now);

    TargetStatistics &statistics(const ServerId &server)
    {
        return statistics_[server];
    }

    // Whether the latency of a server is far above the median of `siblings`.
    bool isOutlier(const ServerId &server, const std::vector<ServerId> &siblings) const;

    // Drops the statistics of all servers not in `servers`.
    void retain(const std::vector<ServerId> &servers);

private:
    double medianLatency(const std::vector<ServerId> &servers) const;
    double score(const ServerId &server) const;

    std::map<ServerId, TargetStatistics> statistics_;
};

} // namespace Goldcrestwall
