// Limits the total memory used by the bodies of requests and responses.
#pragma once

#include <cstdint>
#include <utility>

namespace Goldcrestwall::Gateway {

// Limit on the bytes of all bodies in progress. Must outlive its reservations.
class BodyBudget
{
public:
    explicit BodyBudget(std::uint64_t limit)
        : limit_(limit)
    {
    }

    void setLimit(std::uint64_t limit)
    {
        limit_ = limit;
    }
    std::uint64_t reserved() const
    {
        return reserved_;
    }
    std::uint64_t available() const
    {
        return limit_ > reserved_ ? limit_ - reserved_ : 0;
    }
    // Returns the maximum body size of one exchange, chosen so that a single unbounded body leaves memory for others.
    std::uint64_t maxBody() const;

private:
    friend class BodyReservation;

    // A body exists twice: as received and as forwarded.
    static constexpr std::uint64_t CopiesPerBody = 2;
    static constexpr std::uint64_t MinExchanges = 4;

    std::uint64_t limit_;
    std::uint64_t reserved_ = 0;
};

inline std::uint64_t BodyBudget::maxBody() const
{
    return limit_ / (CopiesPerBody * MinExchanges);
}

// Part of the budget reserved for one body; released on destruction.
class BodyReservation
{
public:
    explicit BodyReservation(BodyBudget &budget)
        : budget_(&budget)
    {
    }
    BodyReservation(BodyReservation &&other) noexcept
        : budget_(other.budget_)
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    BodyReservation &operator=(BodyReservation &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;
    ~BodyReservation()
    {
        budget_->reserved_ -= bytes_;
    }

    // Grows the reservation to what a body of this size needs. Returns false, and reserves nothing more, if the budget is exhausted.
    bool tryReserve(std::uint64_t bodySize)
    {
        const std::uint64_t bytes = BodyBudget::CopiesPerBody * bodySize;
        if (bytes <= bytes_) {
            return true;
        }
        if (bytes - bytes_ > budget_->available()) {
            return false;
        }
        budget_->reserved_ += bytes - bytes_;
        bytes_ = bytes;
        return true;
    }

    const BodyBudget &budget() const
    {
        return *budget_;
    }

private:
    BodyBudget *budget_;
    std::uint64_t bytes_ = 0;
};

} // namespace Goldcrestwall::Gateway
