// The ceilings and shares of those who hold memory.
#include "MemoryAccount.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

// Bytes of the program itself: code, loop, view, log and metrics.
constexpr std::uint64_t ProgramBytes = 16'000'000;
constexpr std::uint64_t UsableTenths = 9;
constexpr std::uint64_t Percent = 100;
constexpr std::uint64_t CopiesOfBody = 2;
// Base64 text, its parsed document, which takes three times as much for small items, and the items decoded from it.
constexpr std::uint64_t CopiesOfStoreBody = 5;
// So many unbounded responses leave room for another one.
constexpr std::uint64_t MinResponses = 4;

struct HolderRule
{
    const char *name_;
    // In percent of the capacity.
    std::uint64_t ceiling_;
    std::uint64_t share_;
};

constexpr std::array<HolderRule, MemoryHolderCount> Rules{{
    {"caller-connections", 60, 60},
    {"caller-input", 70, 20},
    {"requests", 75, 75},
    {"server-input", 85, 20},
    {"response-bodies", 90, 90},
    {"peer-input", 95, 20},
    {"peer-output", 95, 30},
    {"store-responses", 100, 100},
}};

// Rounds down. The quotient goes first: a capacity may be as large as the type allows.
std::uint64_t percentOf(std::uint64_t bytes, std::uint64_t percent)
{
    return bytes / Percent * percent + bytes % Percent * percent / Percent;
}

} // namespace

const char *memoryHolderName(MemoryHolder holder)
{
    return Rules.at(static_cast<std::size_t>(holder)).name_;
}

std::uint64_t MemoryAccount::capacityWithin(std::uint64_t memoryLimit)
{
    const std::uint64_t usable = memoryLimit / 10 * UsableTenths;
    return usable > ProgramBytes ? usable - ProgramBytes : 0;
}

std::uint64_t MemoryAccount::ceiling(MemoryHolder holder) const
{
    return percentOf(capacity_, Rules.at(indexOf(holder)).ceiling_);
}

std::uint64_t MemoryAccount::share(MemoryHolder holder) const
{
    return percentOf(capacity_, Rules.at(indexOf(holder)).share_);
}

std::uint64_t MemoryAccount::available(MemoryHolder holder) const
{
    const std::uint64_t total = ceiling(holder);
    const std::uint64_t own = share(holder);
    const std::uint64_t held = reservedBy(holder);
    return std::min(total > reserved_ ? total - reserved_ : 0, own > held ? own - held : 0);
}

std::uint64_t MemoryAccount::maxResponseBody() const
{
    return ceiling(MemoryHolder::ResponseBodies) / (CopiesOfBody * MinResponses);
}

std::uint64_t MemoryAccount::bodyCost(MemoryHolder holder, std::uint64_t bodySize)
{
    return bodySize * (holder == MemoryHolder::StoreResponses ? CopiesOfStoreBody : CopiesOfBody);
}

bool MemoryAccount::tryReserve(MemoryHolder holder, std::uint64_t bytes)
{
    if (bytes > available(holder)) {
        ++refusals_[indexOf(holder)];
        return false;
    }
    byHolder_[indexOf(holder)] += bytes;
    reserved_ += bytes;
    peak_ = std::max(peak_, reserved_);
    return true;
}

void MemoryAccount::release(MemoryHolder holder, std::uint64_t bytes)
{
    byHolder_[indexOf(holder)] -= bytes;
    reserved_ -= bytes;
}

bool MemoryReservation::tryReserve(std::uint64_t bytes)
{
    if (bytes <= bytes_) {
        return true;
    }
    if (!account_->tryReserve(holder_, bytes - bytes_)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void MemoryReservation::shrinkTo(std::uint64_t bytes)
{
    if (bytes < bytes_) {
        account_->release(holder_, bytes_ - bytes);
        bytes_ = bytes;
    }
}

} // namespace Goldcrestwall::Gateway
