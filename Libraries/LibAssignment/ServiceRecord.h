// The ownership record of one service: the single source of truth on who owns its keys.
#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <vector>

namespace Goldcrestwall {

// A backend server and the instance that dispatches for it.
struct ServerEntry
{
    ServerId server_;
    // Empty while no instance dispatches for the server.
    Incarnation dispatcher_;
    // The version of the record at which the dispatcher was set, which makes it unique and growing.
    FencingToken token_ = 0;

    auto operator<=>(const ServerEntry &) const = default;
    MSGPACK_DEFINE(server_, dispatcher_, token_)
};

// Where a slice or a hot key is owned, and since which version of the record.
struct SliceEntry
{
    // An index into the servers of the record, or NoServer.
    std::uint16_t server_ = 0;
    Version since_ = 0;

    auto operator<=>(const SliceEntry &) const = default;
    MSGPACK_DEFINE(server_, since_)
};

// A single key that is owned apart from its slice.
struct HotKeyEntry
{
    std::string key_;
    SliceEntry owner_;

    auto operator<=>(const HotKeyEntry &) const = default;
    MSGPACK_DEFINE(key_, owner_)
};

// The unit that moves: a whole slice, or a single hot key of it.
struct KeyRange
{
    SliceIndex slice_ = 0;
    // Empty for the whole slice.
    std::string hotKey_;

    auto operator<=>(const KeyRange &) const = default;
    MSGPACK_DEFINE(slice_, hotKey_)
};

// A planned move of ownership.
struct SliceMove
{
    KeyRange range_;
    ServerId from_;
    ServerId to_;

    auto operator<=>(const SliceMove &) const = default;
    MSGPACK_DEFINE(range_, from_, to_)
};

// The record changes only by compare-and-swap of the whole value. Two rules keep owners from overlapping:
// the dispatcher of a server is replaced only by itself or after it was sealed and waited out, and a slice leaves a server only
// by a change of that server's dispatcher, which has stopped and drained the slice before.
class ServiceRecord
{
public:
    static constexpr std::uint16_t NoServer = 0xFFFF;
    // The bound on hot keys keeps the record within one store value.
    static constexpr std::size_t MaxHotKeys = 256;

    ServiceRecord() = default;
    // A record without servers in which no slice is owned.
    ServiceRecord(CustomerId customer, ServiceId service, SliceIndex sliceCount);

    const CustomerId &customer() const
    {
        return customer_;
    }
    const ServiceId &service() const
    {
        return service_;
    }
    Version version() const
    {
        return version_;
    }
    const std::vector<ServerEntry> &servers() const
    {
        return servers_;
    }
    const std::vector<SliceEntry> &slices() const
    {
        return slices_;
    }
    const std::vector<HotKeyEntry> &hotKeys() const
    {
        return hotKeys_;
    }
    const ChangeLog &changes() const
    {
        return changes_;
    }

    // The slice that a key belongs to.
    SliceIndex sliceOf(std::string_view key) const;
    // The range that decides on the owner of a key: its own one if it is a hot key, else its slice.
    KeyRange rangeOf(std::string_view key) const;
    // The range itself if it has an entry, else the slice of a key that has no entry of its own.
    KeyRange effectiveRange(const KeyRange &range) const;
    // The entry of a range; null when the range is unknown.
    const SliceEntry *entryOf(const KeyRange &range) const;
    // The server that owns a range; null when none does.
    const ServerEntry *ownerOf(const KeyRange &range) const;
    const ServerEntry *findServer(const ServerId &server) const;
    // All ranges owned by a server, hot keys first.
    std::vector<KeyRange> rangesOf(const ServerId &server) const;
    // The number of slices owned by each server, in the order of servers().
    std::vector<std::uint32_t> sliceCounts() const;

    // Each of these returns the next version of the record, noted with `note`.
    ServiceRecord withDispatcher(const ServerId &server, const Incarnation &dispatcher, const ChangeNote &note) const;
    ServiceRecord withDispatchers(const std::vector<ServerEntry> &assignments, const ChangeNote &note) const;
    ServiceRecord withMoves(const std::vector<SliceMove> &moves, const ChangeNote &note) const;
    // Adds servers that are new and removes servers that own nothing and are absent from `servers`.
    ServiceRecord withServers(const std::vector<ServerId> &servers, const ChangeNote &note) const;

    // Whether all indices, tokens and versions are consistent. A record that is not is refused by every reader.
    bool isWellFormed() const;

    bool operator==(const ServiceRecord &) const = default;
    MSGPACK_DEFINE(customer_, service_, version_, servers_, slices_, hotKeys_, changes_)

private:
    const HotKeyEntry *findHotKey(std::string_view key) const;
    std::optional<std::uint16_t> indexOf(const ServerId &server) const;
    ServiceRecord next(const ChangeNote &note) const;

    CustomerId customer_;
    ServiceId service_;
    Version version_ = 0;
    std::vector<ServerEntry> servers_;
    std::vector<SliceEntry> slices_;
    // Sorted by key.
    std::vector<HotKeyEntry> hotKeys_;
    ChangeLog changes_;
};

} // namespace Goldcrestwall
