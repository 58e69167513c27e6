// Selection of changes, and of the instances that push them.
#include "ChangePush.h"

#include <LibBase/LibBase.h>

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

constexpr std::size_t ChangeSourceCount = 2;
// An instance that watches the store is told of a change only after this time, since it usually knows by itself.
constexpr Duration MissingDelay = 200ms;
// Older changes are fetched.
constexpr Duration MissingTimeLimit = 2s;
constexpr std::size_t MaxRecentChanges = 16;

std::size_t unboundBytes(const ViewChange &change)
{
    std::size_t bytes = 0;
    for (const auto &item : change.items_) {
        bytes += bindsInTime(item.key_) ? 0 : item.key_.size() + item.value_.size();
    }
    for (const auto &removal : change.removals_) {
        bytes += bindsInTime(removal.key_) ? 0 : removal.key_.size();
    }
    return bytes;
}

// The part of the change that is small enough, if any.
std::optional<ViewChange> pushedPart(ViewChange change)
{
    if (unboundBytes(change) > MaxPushedUnboundBytes) {
        change.isComplete_ = false;
        std::erase_if(change.items_, [](const Platform::StoreItem &item) {
            return !bindsInTime(item.key_);
        });
        std::erase_if(change.removals_, [](const ViewRemoval &removal) {
            return !bindsInTime(removal.key_);
        });
    }
    const bool isEmpty = !change.isComplete_ && change.items_.empty() && change.removals_.empty();
    return isEmpty || contentBytes(change) > MaxPushedBytes ? std::nullopt : std::make_optional(std::move(change));
}

} // namespace

std::size_t contentBytes(const ViewChange &change)
{
    std::size_t bytes = 0;
    for (const auto &item : change.items_) {
        bytes += item.key_.size() + item.value_.size();
    }
    for (const auto &removal : change.removals_) {
        bytes += removal.key_.size();
    }
    return bytes;
}

std::set<std::string> chooseChangeSources(const std::string &instance, const std::string &ownWatcher, const std::set<std::string> &watchers)
{
    std::set<std::string> sources;
    if (watchers.contains(ownWatcher)) {
        sources.insert(ownWatcher);
    }
    std::vector<std::pair<std::uint64_t, std::string>> others;
    for (const auto &address : watchers) {
        if (!sources.contains(address)) {
            others.emplace_back(stableHash(address, stableHash(instance)), address);
        }
    }
    std::ranges::sort(others);
    for (const auto &[hash, address] : others) {
        if (sources.size() < ChangeSourceCount) {
            sources.insert(address);
        }
    }
    return sources;
}

std::optional<ViewChange> ChangePush::takeDue(const StoreView &view, TimePoint now)
{
    if (view.at() == pushedVersion_) {
        return std::nullopt;
    }
    auto change = !pushedVersion_.exists() ? std::nullopt : pushedPart(view.changeSince(pushedVersion_));
    pushedVersion_ = view.at();
    if (change) {
        remember(*change, now);
    }
    return change;
}

std::optional<ViewChange> ChangePush::receive(ViewChange change, StoreView &view, TimePoint now)
{
    const bool wasPushed = view.at() == pushedVersion_;
    if (!view.apply(change, now)) {
        return std::nullopt;
    }
    if (wasPushed) {
        pushedVersion_ = view.at();
    }
    auto passedOn = pushedPart(std::move(change));
    if (passedOn) {
        remember(*passedOn, now);
    }
    return passedOn;
}

void ChangePush::remember(const ViewChange &change, TimePoint now)
{
    recent_.push_back({change, now});
    if (recent_.size() > MaxRecentChanges) {
        recent_.pop_front();
    }
}

std::vector<ViewChange> ChangePush::takeMissing(StoreVersion version, StoreVersion &sentVersion, TimePoint now)
{
    std::erase_if(recent_, [now](const Recent &recent) {
        return now - recent.at_ > MissingTimeLimit;
    });
    std::vector<ViewChange> missing;
    const auto known = std::max(version, sentVersion);
    for (const auto &recent : recent_) {
        if (recent.change_.to_.era_ == version.era_ && recent.change_.to_ > known && now - recent.at_ >= MissingDelay) {
            missing.push_back(recent.change_);
            sentVersion = std::max(sentVersion, recent.change_.to_);
        }
    }
    return missing;
}

} // namespace Goldcrestwall::Gateway
