// The ownership record of one service: the single source of truth on the owners of its keys.
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
    // The version of the record at which the dispatcher was set, so tokens are unique and increase.
    FencingToken token_ = 0;

    auto operator<=>(const ServerEntry &) const = default;
    MSGPACK_DEFINE(server_, dispatcher_, token_)
};

// The owner of a slice or a hot key, and the version of the record since which it is the owner.
struct SliceEntry
{
    // An index into the servers of the record, or NoServer.
    std::uint16_t server_ = 0;
    Version since_ = 0;

    auto operator<=>(const SliceEntry &) const = default;
    MSGPACK_DEFINE(server_, since_)
};

// A single key whose owner is set independently of its slice.
struct HotKeyEntry
{
    std::string key_;
    SliceEntry owner_;

    auto operator<=>(const HotKeyEntry &) const = default;
    MSGPACK_DEFINE(key_, owner_)
};

// The unit of ownership: a whole slice, or a single hot key of it.
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

// The servers, dispatchers and owners of one service. The record is changed only by compare-and-swap of the whole value. Two rules
// prevent two owners at the same time: the dispatcher of a server is replaced only by itself or after it was sealed and its lease has
// expired, and a slice is moved away from a server only by the dispatcher of that server, which has drained the slice before.
class ServiceRecord
{
public:
    static constexpr std::uint16_t NoServer = 0xFFFF;
    // Limits the size of the record, which must fit into one value of the store.
    static constexpr std::size_t MaxHotKeys = 256;

    ServiceRecord() = default;
    // Creates a record without servers and owners.
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
    // The range that determines the owner of a key: the hot key itself if there is an entry for it, otherwise its slice.
    KeyRange rangeOf(std::string_view key) const;
    // The range itself if it has an entry, otherwise the slice that contains it.
    KeyRange effectiveRange(const KeyRange &range) const;
    // The entry of a range; null if the range has none.
    const SliceEntry *entryOf(const KeyRange &range) const;
    // The server that owns a range; null if it has no owner.
    const ServerEntry *ownerOf(const KeyRange &range) const;
    const ServerEntry *findServer(const ServerId &server) const;
    // All ranges owned by a server, hot keys first.
    std::vector<KeyRange> rangesOf(const ServerId &server) const;
    // The number of slices owned by each server, in the order of servers().
    std::vector<std::uint32_t> sliceCounts() const;

    // Each of these functions returns the next version of the record, with `note` added to its change log.
    ServiceRecord withDispatcher(const ServerId &server, const Incarnation &dispatcher, const ChangeNote &note) const;
    ServiceRecord withDispatchers(const std::vector<ServerEntry> &assignments, const ChangeNote &note) const;
    ServiceRecord withMoves(const std::vector<SliceMove> &moves, const ChangeNote &note) const;
    // Adds new servers and removes servers that own no range and are not in `servers`.
    ServiceRecord withServers(const std::vector<ServerId> &servers, const ChangeNote &note) const;

    // Whether all indices, tokens and versions are consistent. Readers reject a record that is not well-formed.
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
