// Load meter: decay, Space-Saving counters and load reports.
#include <LibAdmission/LoadMeter.h>

#include <algorithm>
#include <cmath>

namespace Goldcrestwall {

namespace {

// Time constant of the exponential decay; loads are averages over about this long.
constexpr Duration Window = 30s;
constexpr Duration DecayStep = 250ms;
constexpr std::size_t MaxKeys = 64;
constexpr std::size_t MaxReportedRanges = 48;
constexpr std::size_t MaxReportedKeys = 8;
// A key is hot when it certainly causes more than this fraction of its server's load.
constexpr double HotKeyShare = 0.05;
constexpr double NegligibleWeight = 1e-4;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void LoadMeter::record(const KeyRange &range, const std::string &key, Duration busy, TimePoint now)
{
    decay(now);
    const double weight = toSeconds(busy);
    total_ += weight;
    ranges_[range] += weight;
    if (range.hotKey_.empty()) {
        recordKey(range.slice_, key, weight);
    }
}

void LoadMeter::recordKey(SliceIndex slice, const std::string &key, double weight)
{
    const auto known = keys_.find(key);
    if (known != keys_.end()) {
        known->second.weight_ += weight;
        return;
    }
    double inherited = 0;
    if (keys_.size() >= MaxKeys) {
        const auto lightest = std::min_element(keys_.begin(), keys_.end(), [](const auto &left, const auto &right) {
            return left.second.weight_ < right.second.weight_;
        });
        inherited = lightest->second.weight_;
        keys_.erase(lightest);
    }
    keys_.emplace(key, KeyWeight{slice, inherited + weight, inherited});
}

ServerLoad LoadMeter::report(const ServerId &server, TimePoint now)
{
    decay(now);
    const double window = toSeconds(Window);
    ServerLoad load{server, total_ / window, 0, {}};
    // 1. Report hot keys as ranges of their own and subtract their weight from their slices.
    std::vector<std::pair<double, std::string>> hot;
    for (const auto &[key, weight] : keys_) {
        const double lowerBound = weight.weight_ - weight.error_;
        if (lowerBound > HotKeyShare * total_) {
            hot.emplace_back(lowerBound, key);
        }
    }
    std::sort(hot.rbegin(), hot.rend());
    hot.resize(std::min(hot.size(), MaxReportedKeys));
    std::map<KeyRange, double> ranges = ranges_;
    for (const auto &[weight, key] : hot) {
        const SliceIndex slice = keys_.at(key).slice_;
        ranges[{slice, {}}] -= weight;
        ranges[{slice, key}] += weight;
    }
    // 2. Report the heaviest ranges.
    for (const auto &[range, weight] : ranges) {
        if (weight > NegligibleWeight) {
            load.ranges_.push_back({range, weight / window});
        }
    }
    std::sort(load.ranges_.begin(), load.ranges_.end(), [](const RangeLoad &left, const RangeLoad &right) {
        return left.load_ > right.load_;
    });
    load.ranges_.resize(std::min(load.ranges_.size(), MaxReportedRanges));
    return load;
}

void LoadMeter::decay(TimePoint now)
{
    const Duration elapsed = now - decayedAt_;
    if (elapsed < DecayStep) {
        return;
    }
    decayedAt_ = now;
    const double factor = std::exp(-toSeconds(elapsed) / toSeconds(Window));
    total_ *= factor;
    for (auto &[range, weight] : ranges_) {
        weight *= factor;
    }
    for (auto &[key, weight] : keys_) {
        weight.weight_ *= factor;
        weight.error_ *= factor;
    }
    std::erase_if(ranges_, [](const auto &range) {
        return range.second < NegligibleWeight;
    });
    std::erase_if(keys_, [](const auto &key) {
        return key.second.weight_ < NegligibleWeight;
    });
}

} // namespace Goldcrestwall
