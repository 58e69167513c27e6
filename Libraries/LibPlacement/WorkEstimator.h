// Estimates how long a backend server takes for a request.
#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <string>

namespace Goldcrestwall::Gateway {

// Load that a backend server reports with a response.
struct ReportedLoad
{
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t slots_ = 0;
    // Current service time relative to an average server of the service, from the server's own speed and the load of other
    // workloads on its machine. 1 if the server does not report it.
    double delayFactor_ = 1;

    auto operator<=>(const ReportedLoad &) const = default;
};

// Speed of one server.
struct ServerSpeed
{
    // Measured service time relative to what the server reports.
    double slowness_ = 1;
    // Last reported factor, valid for a fraction of a second.
    double delayFactor_ = 1;
    // Mean of the reported factors over some seconds.
    double meanFactor_ = 1;
    TimePoint reportedAt_;
    // Number of requests from which the slowness was learned.
    std::uint32_t samples_ = 0;

    void recordReport(double delayFactor, TimePoint now);
    bool isReported() const
    {
        return reportedAt_ != TimePoint();
    }
    // Returns the expected factor over the typical service time now.
    double factor(TimePoint now) const;
    // Returns the expected factor of a request that starts at `begin`: a reported slowdown lasts for a fraction of a second.
    double factorAt(TimePoint begin, TimePoint now) const;
    // Returns the mean factor over some seconds.
    double typicalFactor() const;
};

// Learns the typical service time of each kind of request and the speed of each server from finished requests.
class WorkEstimator
{
public:
    // Returns the typical service time of a kind of request, or `fallback` if none has finished yet.
    Duration typicalWork(const std::string &kind, Duration fallback) const;

    // Updates the speed of the server and the service time of the kind from a request that took `duration`.
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
