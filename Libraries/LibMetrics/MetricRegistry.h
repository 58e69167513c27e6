// Metrics of one instance.
#pragma once

#include <LibBase/LibBase.h>

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Goldcrestwall {

// Name and value of a metric label.
struct MetricLabel
{
    std::string name_;
    std::string value_;

    auto operator<=>(const MetricLabel &) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

// Counters, gauges and histograms by name and labels. Thread-safe. The number of series per metric is limited: beyond
// `MaxSeriesPerMetric`, new label values are counted under "other", so that callers cannot make the registry grow without bound.
class MetricRegistry
{
public:
    static constexpr std::size_t MaxSeriesPerMetric = 2000;

    void increment(const std::string &name, const MetricLabels &labels, std::uint64_t amount = 1);
    void setGauge(const std::string &name, const MetricLabels &labels, double value);
    void observe(const std::string &name, const MetricLabels &labels, Duration latency);

    std::uint64_t counter(const std::string &name, const MetricLabels &labels) const;

    // Returns all metrics in the Prometheus text exposition format, version 0.0.4.
    std::string expose() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct Latency
    {
        Histogram histogram_;
        double sumSeconds_ = 0;
        std::uint64_t count_ = 0;
    };

    template<typename Series>
    static typename Series::mapped_type &find(std::map<std::string, Series> &metrics, const std::string &name, const MetricLabels &labels);

    mutable std::mutex mutex_;
    std::map<std::string, std::map<MetricLabels, std::uint64_t>> counters_;
    std::map<std::string, std::map<MetricLabels, double>> gauges_;
    std::map<std::string, std::map<MetricLabels, Latency>> latencies_;
};

} // namespace Goldcrestwall
