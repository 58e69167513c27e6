// Implements lookups in service records and the computation of their next versions.
#include <LibAssignment/ServiceRecord.h>

#include <algorithm>
#include <set>

namespace Goldcrestwall {

ServiceRecord::ServiceRecord(CustomerId customer, ServiceId service, SliceIndex sliceCount)
    : customer_(std::move(customer))
    , service_(std::move(service))
    , slices_(sliceCount, SliceEntry{NoServer, 0})
{
}

SliceIndex ServiceRecord::sliceOf(std::string_view key) const
{
    return sliceOfKey(key, static_cast<SliceIndex>(slices_.size()));
}

KeyRange ServiceRecord::rangeOf(std::string_view key) const
{
    return {sliceOf(key), findHotKey(key) ? std::string(key) : std::string()};
}

const HotKeyEntry *ServiceRecord::findHotKey(std::string_view key) const
{
    const auto position = std::lower_bound(hotKeys_.begin(), hotKeys_.end(), key, [](const HotKeyEntry &entry, std::string_view wanted) {
        return entry.key_ < wanted;
    });
    return position != hotKeys_.end() && position->key_ == key ? &*position : nullptr;
}

const SliceEntry *ServiceRecord::entryOf(const KeyRange &range) const
{
    if (range.hotKey_.empty()) {
        return range.slice_ < slices_.size() ? &slices_[range.slice_] : nullptr;
    }
    const HotKeyEntry *hot = findHotKey(range.hotKey_);
    return hot ? &hot->owner_ : nullptr;
}

KeyRange ServiceRecord::effectiveRange(const KeyRange &range) const
{
    return entryOf(range) ? range : KeyRange{range.slice_, {}};
}

const ServerEntry *ServiceRecord::ownerOf(const KeyRange &range) const
{
    const SliceEntry *entry = entryOf(range);
    return entry && entry->server_ < servers_.size() ? &servers_[entry->server_] : nullptr;
}

const ServerEntry *ServiceRecord::findServer(const ServerId &server) const
{
    const auto index = indexOf(server);
    return index ? &servers_[*index] : nullptr;
}

std::vector<KeyRange> ServiceRecord::rangesOf(const ServerId &server) const
{
    std::vector<KeyRange> ranges;
    const auto index = indexOf(server);
    if (!index) {
        return ranges;
    }
    for (const HotKeyEntry &hot : hotKeys_) {
        if (hot.owner_.server_ == *index) {
            ranges.push_back({sliceOf(hot.key_), hot.key_});
        }
    }
    for (SliceIndex slice = 0; slice < slices_.size(); ++slice) {
        if (slices_[slice].server_ == *index) {
            ranges.push_back({slice, {}});
        }
    }
    return ranges;
}

std::vector<std::uint32_t> ServiceRecord::sliceCounts() const
{
    std::vector<std::uint32_t> counts(servers_.size(), 0);
    for (const SliceEntry &slice : slices_) {
        if (slice.server_ < counts.size()) {
            ++counts[slice.server_];
        }
    }
    return counts;
}

ServiceRecord ServiceRecord::withDispatcher(const ServerId &server, const Incarnation &dispatcher, const ChangeNote &note) const
{
    return withDispatchers({ServerEntry{server, dispatcher, 0}}, note);
}

ServiceRecord ServiceRecord::withDispatchers(const std::vector<ServerEntry> &assignments, const ChangeNote &note) const
{
    ServiceRecord result = next(note);
    for (const ServerEntry &assignment : assignments) {
        const auto index = indexOf(assignment.server_);
        CHECK(index) << "unknown server " << assignment.server_.value_;
        result.servers_[*index].dispatcher_ = assignment.dispatcher_;
        result.servers_[*index].token_ = result.version_;
    }
    return result;
}

ServiceRecord ServiceRecord::withMoves(const std::vector<SliceMove> &moves, const ChangeNote &note) const
{
    ServiceRecord result = next(note);
    for (const SliceMove &move : moves) {
        const auto target = indexOf(move.to_);
        CHECK(target) << "unknown server " << move.to_.value_;
        const SliceEntry owner{*target, result.version_};
        if (move.range_.hotKey_.empty()) {
            result.slices_.at(move.range_.slice_) = owner;
            continue;
        }
        std::erase_if(result.hotKeys_, [&](const HotKeyEntry &entry) {
            return entry.key_ == move.range_.hotKey_;
        });
        result.hotKeys_.push_back({move.range_.hotKey_, owner});
    }
    // A hot key that returns to the owner of its slice needs no entry of its own. The ownership of the slice then starts at this version,
    // because the request history of its dispatcher does not cover the time in which another server owned the key.
    std::erase_if(result.hotKeys_, [&](const HotKeyEntry &hot) {
        SliceEntry &slice = result.slices_[result.sliceOf(hot.key_)];
        const bool isMerged = slice.server_ == hot.owner_.server_;
        slice.since_ = isMerged ? result.version_ : slice.since_;
        return isMerged;
    });
    std::sort(result.hotKeys_.begin(), result.hotKeys_.end(), [](const HotKeyEntry &left, const HotKeyEntry &right) {
        return left.key_ < right.key_;
    });
    return result;
}

ServiceRecord ServiceRecord::withServers(const std::vector<ServerId> &servers, const ChangeNote &note) const
{
    // 1. Keep the servers that are still configured and those that still own a range.
    ServiceRecord result = next(note);
    const std::vector<std::uint32_t> counts = sliceCounts();
    std::vector<std::uint16_t> newIndex(servers_.size(), NoServer);
    result.servers_.clear();
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        const bool isConfigured = std::find(servers.begin(), servers.end(), servers_[index].server_) != servers.end();
        const bool ownsHotKey = std::any_of(hotKeys_.begin(), hotKeys_.end(), [&](const HotKeyEntry &hot) {
            return hot.owner_.server_ == index;
        });
        if (isConfigured || counts[index] > 0 || ownsHotKey) {
            newIndex[index] = static_cast<std::uint16_t>(result.servers_.size());
            result.servers_.push_back(servers_[index]);
        }
    }
    // 2. Update the owner indices.
    for (SliceEntry &slice : result.slices_) {
        slice.server_ = slice.server_ == NoServer ? NoServer : newIndex[slice.server_];
    }
    for (HotKeyEntry &hot : result.hotKeys_) {
        hot.owner_.server_ = newIndex[hot.owner_.server_];
    }
    // 3. Append new servers.
    for (const ServerId &server : servers) {
        if (!indexOf(server)) {
            result.servers_.push_back({server, {}, 0});
        }
    }
    return result;
}

bool ServiceRecord::isWellFormed() const
{
    if (version_ == 0 || servers_.size() >= NoServer || hotKeys_.size() > MaxHotKeys || slices_.empty()) {
        return false;
    }
    const bool areKeysSorted = std::is_sorted(hotKeys_.begin(), hotKeys_.end(), [](const HotKeyEntry &left, const HotKeyEntry &right) {
        return left.key_ < right.key_;
    });
    if (!areKeysSorted) {
        return false;
    }
    const auto isValidEntry = [&](const SliceEntry &entry) {
        return (entry.server_ == NoServer || entry.server_ < servers_.size()) && entry.since_ <= version_;
    };
    std::set<ServerId> names;
    for (const ServerEntry &server : servers_) {
        if (server.token_ > version_ || !names.insert(server.server_).second) {
            return false;
        }
    }
    return std::all_of(slices_.begin(), slices_.end(), isValidEntry) && std::all_of(hotKeys_.begin(), hotKeys_.end(), [&](const HotKeyEntry &hot) {
               return isValidEntry(hot.owner_) && hot.owner_.server_ != NoServer;
           });
}

std::optional<std::uint16_t> ServiceRecord::indexOf(const ServerId &server) const
{
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        if (servers_[index].server_ == server) {
            return static_cast<std::uint16_t>(index);
        }
    }
    return std::nullopt;
}

ServiceRecord ServiceRecord::next(const ChangeNote &note) const
{
    ServiceRecord result = *this;
    ++result.version_;
    ChangeNote numbered = note;
    numbered.version_ = result.version_;
    result.changes_ = changes_.with(std::move(numbered));
    return result;
}

} // namespace Goldcrestwall
