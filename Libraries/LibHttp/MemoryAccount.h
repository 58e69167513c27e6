// One account of the memory that a process uses for the bytes it holds for others.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace Goldcrestwall::Gateway {

// Who holds memory, in the order in which they give way: when memory runs short, those listed first are refused first.
enum class MemoryHolder {
    // Callers' connections, at a fixed cost each.
    CallerConnections,
    // Bytes received from callers and not parsed, beyond the fixed cost of a connection.
    CallerInput,
    // Requests being read or handled: heads and bodies, as received and as forwarded.
    Requests,
    // Bytes received from servers and not parsed.
    ServerInput,
    // Bodies of responses on their way to callers, as received and as forwarded.
    ResponseBodies,
    // Bytes received from other instances and not parsed.
    PeerInput,
    // Bytes that wait to be sent to other instances.
    PeerOutput,
    // The store's responses: as received, parsed, and their items.
    StoreResponses,
};

constexpr std::size_t MemoryHolderCount = static_cast<std::size_t>(MemoryHolder::StoreResponses) + 1;

// The holder's name in metrics and log lines.
const char *memoryHolderName(MemoryHolder holder);

// Decides who may hold how many bytes. Nothing is taken back: a holder is refused before it takes memory, and what has been reserved
// remains until it is released, so a complete response is never lost.
//
// A holder may reserve only while the sum of all reservations stays within the holder's ceiling. The ceilings grow in the order of the
// holders and the last one is the whole account, so the sum never exceeds it. Must outlive its reservations.
class MemoryAccount
{
public:
    // `capacity` is the sum of all reservations in bytes that is never exceeded.
    explicit MemoryAccount(std::uint64_t capacity)
        : capacity_(capacity)
    {
    }

    // Returns the capacity for a process that is ended when its memory exceeds `memoryLimit` bytes: nine tenths of the limit, less what the
    // program itself needs.
    static std::uint64_t capacityWithin(std::uint64_t memoryLimit);

    // What is reserved already remains so, even if it exceeds the new capacity.
    void setCapacity(std::uint64_t capacity)
    {
        capacity_ = capacity;
    }
    std::uint64_t capacity() const
    {
        return capacity_;
    }
    std::uint64_t reserved() const
    {
        return reserved_;
    }
    std::uint64_t reservedBy(MemoryHolder holder) const
    {
        return byHolder_[indexOf(holder)];
    }
    // The highest sum of all reservations so far.
    std::uint64_t peak() const
    {
        return peak_;
    }
    // How often the holder was refused.
    std::uint64_t refusals(MemoryHolder holder) const
    {
        return refusals_[indexOf(holder)];
    }
    // The sum of all reservations in bytes up to which the holder may reserve.
    std::uint64_t ceiling(MemoryHolder holder) const;
    // The most that the holder may reserve by itself, so that it cannot take the room of those that give way before it.
    std::uint64_t share(MemoryHolder holder) const;
    // How many bytes the holder could reserve now.
    std::uint64_t available(MemoryHolder holder) const;
    // Returns the maximum size of one response body, chosen so that a single unbounded body leaves memory for others.
    std::uint64_t maxResponseBody() const;

    // The bytes of memory that a body of this size takes: requests and responses exist as received and as forwarded, those of the store as
    // received, as a parsed document and as items.
    static std::uint64_t bodyCost(MemoryHolder holder, std::uint64_t bodySize);

private:
    friend class MemoryReservation;

    static std::size_t indexOf(MemoryHolder holder)
    {
        return static_cast<std::size_t>(holder);
    }
    bool tryReserve(MemoryHolder holder, std::uint64_t bytes);
    void release(MemoryHolder holder, std::uint64_t bytes);

    std::uint64_t capacity_;
    std::uint64_t reserved_ = 0;
    std::uint64_t peak_ = 0;
    std::array<std::uint64_t, MemoryHolderCount> byHolder_{};
    std::array<std::uint64_t, MemoryHolderCount> refusals_{};
};

// Bytes reserved in an account for one holder; released on destruction.
class MemoryReservation
{
public:
    MemoryReservation(MemoryAccount &account, MemoryHolder holder)
        : account_(&account)
        , holder_(holder)
    {
    }
    MemoryReservation(MemoryReservation &&other) noexcept
        : account_(other.account_)
        , holder_(other.holder_)
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    MemoryReservation &operator=(MemoryReservation &&other) noexcept
    {
        std::swap(account_, other.account_);
        std::swap(holder_, other.holder_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;
    ~MemoryReservation()
    {
        shrinkTo(0);
    }

    // Grows the reservation to this size. Returns false, and reserves nothing more, if the account refuses.
    bool tryReserve(std::uint64_t bytes);
    // Grows the reservation to what a body of this size needs, beside `otherBytes`. Returns false, and reserves nothing more, if the
    // account refuses.
    bool tryReserveBody(std::uint64_t bodySize, std::uint64_t otherBytes = 0)
    {
        return tryReserve(otherBytes + MemoryAccount::bodyCost(holder_, bodySize));
    }
    // Releases what exceeds this size.
    void shrinkTo(std::uint64_t bytes);

    std::uint64_t bytes() const
    {
        return bytes_;
    }
    MemoryAccount &account() const
    {
        return *account_;
    }

private:
    MemoryAccount *account_;
    MemoryHolder holder_;
    std::uint64_t bytes_ = 0;
};

} // namespace Goldcrestwall::Gateway
