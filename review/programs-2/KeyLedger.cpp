// Checks of the holders of keys.
#include "KeyLedger.h"

#include <algorithm>
#include <sstream>

namespace Review {

namespace {

constexpr Duration MaxOverlap = 500ms;

std::string describeLowToken(const std::string &target, std::uint32_t key, std::uint64_t token, const std::string &other, std::uint64_t highest)
{
    std::ostringstream text;
    text << "target " << target << " takes keys from " << key << " with token " << token << ", but target " << other << " had them with token " << highest;
    return text.str();
}

} // namespace

void KeyLedger::grant(const std::string &target, std::uint32_t first, std::uint32_t last, std::uint64_t token, TimePoint until)
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = Clock::now();
    bool isReported = false;
    for (std::uint32_t number = first; number <= last; ++number) {
        auto &key = keys_[number];
        const auto held = key.holders_.find(target);
        const bool isRenewal = held != key.holders_.end() && held->second.until_ > now && held->second.token_ == token;
        if (!isRenewal) {
            for (const auto &[other, highest] : key.highest_) {
                if (other != target && highest >= token) {
                    ++lowTokens_;
                    if (!isReported) {
                        isReported = true;
                        record_.writeBreak(describeLowToken(target, number, token, other, highest));
                    }
                }
            }
        }
        key.holders_[target] = {until, token};
        auto &highest = key.highest_[target];
        highest = std::max(highest, token);
    }
}

void KeyLedger::release(const std::string &target, std::uint32_t first, std::uint32_t last)
{
    const std::lock_guard lock(mutex_);
    for (std::uint32_t number = first; number <= last; ++number) {
        keys_[number].holders_.erase(target);
    }
}

bool KeyLedger::holds(const std::string &target, std::uint32_t key) const
{
    const std::lock_guard lock(mutex_);
    const auto &holders = keys_.at(key).holders_;
    const auto found = holders.find(target);
    return found != holders.end() && found->second.until_ > Clock::now();
}

std::size_t KeyLedger::heldCount(const std::string &target) const
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = Clock::now();
    return static_cast<std::size_t>(std::ranges::count_if(keys_, [&](const Key &key) {
        const auto found = key.holders_.find(target);
        return found != key.holders_.end() && found->second.until_ > now;
    }));
}

std::string KeyLedger::describeHolders(const Key &key, TimePoint now) const
{
    std::string text;
    for (const auto &[target, hold] : key.holders_) {
        if (hold.until_ > now) {
            text += (text.empty() ? "" : " and ") + target + " (token " + std::to_string(hold.token_) + ")";
        }
    }
    return text;
}

void KeyLedger::check()
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = Clock::now();
    std::uint32_t reported = 0;
    std::string line;
    for (std::uint32_t number = 0; number < KeyCount; ++number) {
        auto &key = keys_[number];
        const auto holders = std::ranges::count_if(key.holders_, [now](const auto &entry) {
            return entry.second.until_ > now;
        });
        if (holders < 2) {
            key.doubleSince_ = TimePoint();
            continue;
        }
        if (key.doubleSince_ == TimePoint()) {
            key.doubleSince_ = now;
        }
        const Duration overlap = elapsed(key.doubleSince_, now);
        longestOverlap_ = std::max(longestOverlap_, overlap);
        if (overlap > MaxOverlap && !key.isReported_) {
            key.isReported_ = true;
            line = reported++ == 0 ? "key " + std::to_string(number) + " has been held for over half a second by " + describeHolders(key, now) : line;
        }
    }
    if (reported > 0) {
        record_.writeBreak(line + "; so are " + std::to_string(reported - 1) + " other keys");
    }
}

Duration KeyLedger::longestOverlap() const
{
    const std::lock_guard lock(mutex_);
    return longestOverlap_;
}

std::size_t KeyLedger::lowTokenCount() const
{
    const std::lock_guard lock(mutex_);
    return lowTokens_;
}

} // namespace Review
