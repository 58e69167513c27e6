// Bounds the memory that the bodies of requests and answers hold together.
#pragma once

#include <cstdint>
#include <utility>

namespace Goldcrestwall::Gateway {

// How many bytes all bodies in progress may hold. Outlives its shares.
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
    // The size of a body that one exchange may hold, so that a single endless one leaves room for others.
    std::uint64_t maxBody() const;

private:
    friend class BodyReservation;

    // A body is there as it was read and as it is passed on.
    static constexpr std::uint64_t CopiesPerBody = 2;
    static constexpr std::uint64_t MinExchanges = 4;

    std::uint64_t limit_;
    std::uint64_t reserved_ = 0;
};

inline std::uint64_t BodyBudget::maxBody() const
{
    return limit_ / (CopiesPerBody * MinExchanges);
}

// What one body holds of the budget; it is given back at the end of the share's life.
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

    // Takes what a body of this size needs in all. Returns whether it was there; nothing is taken otherwise.
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
