// Clients that measure availability.
#pragma once

#include <Tests/Harness/Simulation.h>

#include <map>

namespace Goldcrestwall {

// Looks up each of a number of keys at a regular interval and measures the time without a response per key.
class AvailabilityProbe
{
public:
    // Submits one lookup per key and interval until `until`.
    AvailabilityProbe(Simulation &simulation, ServiceKey service, std::size_t keys, Duration interval, TimePoint until);

    // The longest time without a response of any key after `since`.
    Duration longestGap(TimePoint since) const;
    // The longest time without a response of each key after `since`, in ascending order.
    std::vector<Duration> gaps(TimePoint since) const;
    // The number of submissions that ended without a response.
    std::size_t failures() const
    {
        return failures_;
    }
    std::size_t answered() const
    {
        return answered_;
    }
    // The number of failures by reason, for assertion messages.
    std::string describeFailures() const;

private:
    void submit(std::size_t key);

    Simulation &simulation_;
    ServiceKey service_;
    Duration interval_;
    TimePoint until_;
    std::map<std::size_t, std::vector<TimePoint>> completions_;
    std::map<std::string, std::size_t> failureReasons_;
    std::size_t failures_ = 0;
    std::size_t answered_ = 0;
};

} // namespace Goldcrestwall
