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
    // How long work takes at this moment, relative to the usual; 1 when the server does not say.
    double delayFactor_ = 1;

    auto operator<=>(const ReportedLoad &) const = default;
};

// How fast one server works.
struct ServerSpeed
{
    // Time that work takes here, relative to the other servers of the service.
    double slowness_ = 1;
    // The factor last reported, which holds for a fraction of a second.
    double delayFactor_ = 1;
    TimePoint reportedAt_;
    // Requests that it was learned from.
    std::uint32_t samples_ = 0;

    // The expected factor over the usual work time.
    double factor(TimePoint now) const;
};

// Learns the usual work time of each kind of request and the speed of each server from finished requests.
class WorkEstimator
{
public:
    // The usual work time of a kind of request; `fallback` until one has finished.
    Duration usualWork(const std::string &kind, Duration fallback) const;

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
