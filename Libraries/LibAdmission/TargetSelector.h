// Chooses a backend server for a request that any server may run.
#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Goldcrestwall {

// What an entry knows of one server from its own requests.
class TargetStatistics
{
public:
    void recordSent()
    {
        ++outstanding_;
    }
    void recordAnswered(Duration latency);
    // The request was given up; its latency is at least `waited`.
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

// Power of two choices, weighted by latency and outstanding requests, without outliers. A server whose latency exceeds that of its
// siblings several times is an outlier and only gets a trickle of requests, by which its recovery is noticed.
class TargetSelector
{
public:
    // Picks one of the candidates, avoiding `avoid` where possible; nothing when there are none.
    std::optional<ServerId> select(const std::vector<ServerId> &candidates, const std::optional<ServerId> &avoid, std::mt19937_64 &random, TimePoint now);

    TargetStatistics &statistics(const ServerId &server)
    {
        return statistics_[server];
    }

    // Whether a server is much slower than its siblings.
    bool isOutlier(const ServerId &server, const std::vector<ServerId> &siblings) const;

    // Drops servers that no service has any more.
    void retain(const std::vector<ServerId> &servers);

private:
    double medianLatency(const std::vector<ServerId> &servers) const;
    double score(const ServerId &server) const;

    std::map<ServerId, TargetStatistics> statistics_;
};

} // namespace Goldcrestwall
