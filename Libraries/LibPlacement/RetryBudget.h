// Retry budget: limits how often requests of a service are sent to another backend server.
#pragma once

#include <LibBase/LibBase.h>

#include <deque>

namespace Goldcrestwall::Gateway {

// Retries that the operator allows within a sliding window, for all instances together.
struct RetryBudgetSettings
{
    // Retries per request.
    double ratio_ = 0.2;
    // Retries allowed in addition, whatever the number of requests.
    double reserve_ = 10;
    Duration window_ = 10s;

    auto operator<=>(const RetryBudgetSettings &) const = default;
};

// Counts requests and retries in the slots of a sliding window. An instance that has no coordinator uses only its share of the budget.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings)
        : settings_(settings)
    {
    }

    void recordRequest(TimePoint now);
    // Takes one retry from the budget; `share` is the part of the whole budget that may be used, 0 to 1. Returns false if the budget is
    // exhausted.
    bool tryTake(double share, TimePoint now);

private:
    // Maximum fraction of the budget that is used: other instances may spend a part of it before they learn which instance coordinates.
    static constexpr double UsableFraction = 0.6;
    // The same for the reserve, which two coordinators may each use for a while; requests each counts for itself.
    static constexpr double UsableReserveFraction = 0.45;
    static constexpr int WindowSlotCount = 20;

    struct WindowSlot
    {
        TimePoint begin_;
        double requests_ = 0;
        double retries_ = 0;
    };

    WindowSlot &current(TimePoint now);

    RetryBudgetSettings settings_;
    std::deque<WindowSlot> windowSlots_;
};

} // namespace Goldcrestwall::Gateway
