// Decides when an idempotent request is hedged, that is, sent to a second server as well.
#pragma once

#include <LibBase/LibBase.h>

#include <boost/histogram.hpp>

#include <optional>

namespace Goldcrestwall {

// Hedges the slowest requests of one service within a budget: a request without a response after a high quantile of recent latencies
// is sent to a second server, and the slower of the two attempts is cancelled.
class HedgePolicy
{
public:
    HedgePolicy();

    void recordRequest();
    void recordAnswered(Duration latency);

    // How long to wait before hedging; nothing until enough latencies have been recorded.
    std::optional<Duration> delay() const
    {
        return delay_;
    }

    // Takes one hedge from the budget; returns false if the budget is exhausted.
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
