// Strongly typed identifiers, so that a server identifier cannot be passed where an instance identifier is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <LibBase/Serialization.h>

namespace Goldcrestwall {

// The identifier of a named entity. The tag makes identifiers of different kinds incompatible.
template<typename Tag>
struct Identifier
{
    std::string value_;

    Identifier() = default;
    explicit Identifier(std::string value)
        : value_(std::move(value))
    {
    }

    bool isEmpty() const
    {
        return value_.empty();
    }

    auto operator<=>(const Identifier &) const = default;
    MSGPACK_DEFINE(value_)
};

using InstanceId = Identifier<struct InstanceTag>;
using ServerId = Identifier<struct ServerTag>;
using ServiceId = Identifier<struct ServiceTag>;
using CustomerId = Identifier<struct CustomerTag>;
using DomainId = Identifier<struct DomainTag>;
using RequestId = Identifier<struct RequestTag>;
using ChangeId = Identifier<struct ChangeTag>;

// One run of an instance. A restarted process has a higher number and holds none of the leases of its previous run.
struct Incarnation
{
    InstanceId instance_;
    std::uint64_t number_ = 0;

    bool isEmpty() const
    {
        return instance_.isEmpty();
    }

    // The form shown to operators and used in stored records, for example "a1#1764824668000".
    std::string toString() const
    {
        return instance_.value_ + "#" + std::to_string(number_);
    }

    auto operator<=>(const Incarnation &) const = default;
    MSGPACK_DEFINE(instance_, number_)
};

// The version of a record in the store. It increases with each change of the record; 0 means that the record does not exist.
using Version = std::uint64_t;

// A fencing token. A backend server that checks tokens rejects any token lower than the highest it has accepted.
using FencingToken = std::uint64_t;

// The index of a slice within the key space of its service.
using SliceIndex = std::uint32_t;

} // namespace Goldcrestwall

template<typename Tag>
struct std::hash<Goldcrestwall::Identifier<Tag>>
{
    std::size_t operator()(const Goldcrestwall::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value_);
    }
};
