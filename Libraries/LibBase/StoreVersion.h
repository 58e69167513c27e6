// The order of the states of the platform's store.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Goldcrestwall {

// Number of times that the store has come back from an older copy of its content, as far as it tells; 0 if it does not tell. What it had acknowledged after
// the copy was taken is lost then, and its revisions and lease numbers are given out again.
using StoreEra = std::uint64_t;

// A state of the store, or the last change of one of its items. A revision alone neither orders two states nor identifies one; there is deliberately no
// conversion to one.
struct StoreVersion
{
    StoreEra era_ = 0;
    // Increases with each change within an era. 0 is that of no change: of an item that does not exist, or of a store of which nothing is known.
    std::uint64_t revision_ = 0;

    constexpr StoreVersion() = default;
    constexpr StoreVersion(StoreEra era, std::uint64_t revision)
        : era_(era)
        , revision_(revision)
    {
    }

    auto operator<=>(const StoreVersion &) const = default;

    // Whether this is the version of anything that exists.
    bool exists() const
    {
        return revision_ != 0;
    }

    // The form in logs: era and revision, for example "2.1047".
    std::string toString() const
    {
        return std::to_string(era_) + "." + std::to_string(revision_);
    }
};

// A lease that the store has granted. Its number may be given out again in a later era.
struct StoreLeaseId
{
    StoreEra era_ = 0;
    // 0 stands for no lease.
    std::uint64_t number_ = 0;

    constexpr StoreLeaseId() = default;
    constexpr StoreLeaseId(StoreEra era, std::uint64_t number)
        : era_(era)
        , number_(number)
    {
    }

    auto operator<=>(const StoreLeaseId &) const = default;

    bool exists() const
    {
        return number_ != 0;
    }

    // The form in logs: era and number.
    std::string toString() const
    {
        return std::to_string(era_) + "." + std::to_string(number_);
    }
};

} // namespace Goldcrestwall
