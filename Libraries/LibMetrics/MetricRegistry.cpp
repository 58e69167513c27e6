// Stores metrics and writes them in the Prometheus text format.
#include <LibMetrics/MetricRegistry.h>

#include <sstream>

namespace Goldcrestwall {

namespace {

constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 100;
constexpr unsigned BinCount = 56;
constexpr std::string_view Prefix = "goldcrestwall_";

std::string escape(const std::string &value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

std::string format(const MetricLabels &labels, const std::string &extra = {})
{
    std::string text;
    for (const MetricLabel &label : labels) {
        text += (text.empty() ? "" : ",") + label.name_ + "=\"" + escape(label.value_) + "\"";
    }
    if (!extra.empty()) {
        text += (text.empty() ? "" : ",") + extra;
    }
    return text.empty() ? text : "{" + text + "}";
}

} // namespace

template<typename Series>
typename Series::mapped_type &MetricRegistry::find(std::map<std::string, Series> &metrics, const std::string &name, const MetricLabels &labels)
{
    Series &series = metrics[name];
    const auto known = series.find(labels);
    if (known != series.end()) {
        return known->second;
    }
    if (series.size() < MaxSeriesPerMetric) {
        return series[labels];
    }
    MetricLabels other = labels;
    for (MetricLabel &label : other) {
        label.value_ = "other";
    }
    return series[other];
}

void MetricRegistry::increment(const std::string &name, const MetricLabels &labels, std::uint64_t amount)
{
    const std::lock_guard lock(mutex_);
    find(counters_, name, labels) += amount;
}

void MetricRegistry::setGauge(const std::string &name, const MetricLabels &labels, double value)
{
    const std::lock_guard lock(mutex_);
    find(gauges_, name, labels) = value;
}

void MetricRegistry::observe(const std::string &name, const MetricLabels &labels, Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const std::lock_guard lock(mutex_);
    Latency &entry = find(latencies_, name, labels);
    if (entry.count_ == 0) {
        entry.histogram_ = boost::histogram::make_histogram(Axis(BinCount, LowestSeconds, HighestSeconds));
    }
    entry.histogram_(seconds);
    entry.sumSeconds_ += seconds;
    ++entry.count_;
}

std::uint64_t MetricRegistry::counter(const std::string &name, const MetricLabels &labels) const
{
    const std::lock_guard lock(mutex_);
    const auto metric = counters_.find(name);
    if (metric == counters_.end()) {
        return 0;
    }
    const auto series = metric->second.find(labels);
    return series == metric->second.end() ? 0 : series->second;
}

std::string MetricRegistry::expose() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream text;
    for (const auto &[name, series] : counters_) {
        text << "# TYPE " << Prefix << name << " counter\n";
        for (const auto &[labels, value] : series) {
            text << Prefix << name << format(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, series] : gauges_) {
        text << "# TYPE " << Prefix << name << " gauge\n";
        for (const auto &[labels, value] : series) {
            text << Prefix << name << format(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, series] : latencies_) {
        text << "# TYPE " << Prefix << name << " histogram\n";
        for (const auto &[labels, latency] : series) {
            double cumulative = latency.histogram_.at(-1);
            for (const auto &bin : boost::histogram::indexed(latency.histogram_)) {
                cumulative += *bin;
                std::ostringstream bound;
                bound << "le=\"" << bin.bin().upper() << '"';
                text << Prefix << name << "_bucket" << format(labels, bound.str()) << ' ' << cumulative << '\n';
            }
            text << Prefix << name << "_bucket" << format(labels, "le=\"+Inf\"") << ' ' << latency.count_ << '\n';
            text << Prefix << name << "_sum" << format(labels) << ' ' << latency.sumSeconds_ << '\n';
            text << Prefix << name << "_count" << format(labels) << ' ' << latency.count_ << '\n';
        }
    }
    return text.str();
}

} // namespace Goldcrestwall
