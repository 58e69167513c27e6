// Decides when an idempotent request is sent to a second server.
#pragma once

#include <LibBase/LibBase.h>

#include <boost/histogram.hpp>

#include <optional>

namespace Goldcrestwall {

// Hedges the slowest requests of a service under a budget: a request that has waited longer than a high quantile of recent
// latencies goes to a second server, and the slower answer is cancelled.
class HedgePolicy
{
public:
    HedgePolicy();

    void recordRequest();
    void recordAnswered(Duration latency);

    // How long to wait before hedging; nothing while too little is known.
    std::optional<Duration> delay() const
    {
        return delay_;
    }

    // Takes one hedge out of the budget; returns whether it was there.
    bool tryTake();

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Latencies = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    void updateDelay();

    Latencies latencies_;
    std::uint32_t samples_ = 0;
    double tokens_ = 0;
    std::optional<Duration> delay_;
};

} // namespace Goldcrestwall
