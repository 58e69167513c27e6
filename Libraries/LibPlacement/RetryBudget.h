// Bounds how often requests of a service are sent to a further backend server.
#pragma once

#include <LibBase/LibBase.h>

#include <deque>

namespace Goldcrestwall::Gateway {

// What the operator allows within a sliding window, all instances together.
struct RetryBudgetSettings
{
    // Repeats per request.
    double ratio_ = 0.2;
    // Repeats allowed besides.
    double reserve_ = 10;
    Duration window_ = 10s;

    auto operator<=>(const RetryBudgetSettings &) const = default;
};

// Counts requests and repeats in slices of a sliding window. An instance that decides alone uses its share of the budget only.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings terms)
        : terms_(terms)
    {
    }

    void recordRequest(TimePoint now);
    // Takes one repeat; `share` is the part of the whole budget that may be used, 0 to 1. Returns whether it was there.
    bool tryTake(double share, TimePoint now);

private:
    // Part of the budget that is used at most: other instances may spend some of it before they learn who coordinates.
    static constexpr double UsableFraction = 0.6;
    static constexpr int WindowSlotCount = 20;

    struct WindowSlot
    {
        TimePoint begin_;
        double requests_ = 0;
        double retries_ = 0;
    };

    WindowSlot &current(TimePoint now);

    RetryBudgetSettings terms_;
    std::deque<WindowSlot> windowSlots_;
};

} // namespace Goldcrestwall::Gateway
