// Measures the load of each key range at a server and detects hot keys.
#pragma once

#include <LibAssignment/LibAssignment.h>

#include <map>
#include <string>
#include <vector>

namespace Goldcrestwall {

// Accumulates execution time per range and per heavy key, with exponential decay. The number of tracked keys is bounded by the
// Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005): a new key replaces the one with the lowest weight and takes over that
// weight as its possible error.
class LoadMeter
{
public:
    explicit LoadMeter(TimePoint now)
        : decayedAt_(now)
    {
    }

    // Records that a request for `key` in `range` took `busy` at the server.
    void record(const KeyRange &range, const std::string &key, Duration busy, TimePoint now);

    // The load of the server, its heaviest ranges, and the keys hot enough to be moved separately from their slices.
    ServerLoad report(const ServerId &server, TimePoint now);

private:
    struct KeyWeight
    {
        SliceIndex slice_ = 0;
        double weight_ = 0;
        double error_ = 0;
    };

    void decay(TimePoint now);
    void recordKey(SliceIndex slice, const std::string &key, double weight);

    TimePoint decayedAt_;
    double total_ = 0;
    std::map<KeyRange, double> ranges_;
    std::map<std::string, KeyWeight> keys_;
};

} // namespace Goldcrestwall
