// Who holds which keys.
#pragma once

#include "Record.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

inline constexpr std::uint32_t KeyCount = 65536;

// Keeps what the targets of one service hold, and writes to the record what breaks the rule OWNER: a key that two targets hold for over half a second, and
// a key that a target takes with a token that is not above all with which other targets had it. Thread-safe.
class KeyLedger
{
public:
    explicit KeyLedger(Record &record)
        : record_(record)
    {
    }

    // A target has accepted a grant.
    void grant(const std::string &target, std::uint32_t first, std::uint32_t last, std::uint64_t token, TimePoint until);
    // A target has released keys or has ended.
    void release(const std::string &target, std::uint32_t first, std::uint32_t last);
    bool holds(const std::string &target, std::uint32_t key) const;
    // The number of keys that a target holds.
    std::size_t heldCount(const std::string &target) const;
    // Looks for keys with two holders. To be called every few milliseconds.
    void check();
    // The longest time for which any key has had two holders.
    Duration longestOverlap() const;
    // The number of keys that were taken with a token that is not above all others.
    std::size_t lowTokenCount() const;

private:
    struct Hold
    {
        TimePoint until_;
        std::uint64_t token_ = 0;
    };

    struct Key
    {
        std::map<std::string, Hold> holders_;
        // The highest token with which each target had it.
        std::map<std::string, std::uint64_t> highest_;
        // Since when it has two holders; the epoch if it has not.
        TimePoint doubleSince_;
        bool isReported_ = false;
    };

    std::string describeHolders(const Key &key, TimePoint now) const;

    Record &record_;
    mutable std::mutex mutex_;
    std::vector<Key> keys_ = std::vector<Key>(KeyCount);
    Duration longestOverlap_ = Duration::zero();
    std::size_t lowTokens_ = 0;
};

} // namespace Review
