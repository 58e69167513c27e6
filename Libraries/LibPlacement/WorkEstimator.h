// Estimates how long a backend server takes for a request.
#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <string>

namespace Goldcrestwall::Gateway {

// The load that a backend server reports with an answer.
struct ReportedLoad
{
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t slots_ = 0;
    // How long work takes there at this moment, relative to an average server of the service: the server's own speed and what its
    // neighbours take. 1 when the server does not say.
    double delayFactor_ = 1;

    auto operator<=>(const ReportedLoad &) const = default;
};

// How fast one server works.
struct ServerSpeed
{
    // Time that work takes here, relative to what the server reports.
    double slowness_ = 1;
    // The factor last reported, which holds for a fraction of a second.
    double delayFactor_ = 1;
    // The mean of the reported factors over some seconds.
    double meanFactor_ = 1;
    TimePoint reportedAt_;
    // Requests that it was learned from.
    std::uint32_t samples_ = 0;

    void recordReport(double delayFactor, TimePoint now);
    bool isReported() const
    {
        return reportedAt_ != TimePoint();
    }
    // The expected factor over the usual work time at this moment.
    double factor(TimePoint now) const;
    // The same for work that begins later: what slows a server at this moment does so for a fraction of a second.
    double factorAt(TimePoint begin, TimePoint now) const;
    // The same over some seconds.
    double typicalFactor() const;
};

// Learns the usual work time of each kind of request and the speed of each server from finished requests.
class WorkEstimator
{
public:
    // The usual work time of a kind of request; `fallback` until one has finished.
    Duration typicalWork(const std::string &kind, Duration fallback) const;

    // A request of that kind took `duration` on the server. The server's speed and the kind's work time learn from it.
    void learn(const std::string &kind, ServerSpeed &speed, Duration duration, TimePoint now);

private:
    struct Work
    {
        double microseconds_ = 0;
        std::uint32_t samples_ = 0;
    };
    std::map<std::string, Work> work_;
};

} // namespace Goldcrestwall::Gateway
