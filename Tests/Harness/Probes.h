// Clients that measure.
#pragma once

#include <Tests/Harness/Simulation.h>

#include <map>

namespace Goldcrestwall {

// Asks for each of some keys in turn, steadily, and measures how long each was not answered.
class AvailabilityProbe
{
public:
    // Submits one lookup per key and interval until `until`.
    AvailabilityProbe(Simulation &simulation, ServiceKey service, std::size_t keys, Duration interval, TimePoint until);

    // The longest time without a completed answer over all keys, counted between submissions' ends after `since`.
    Duration longestGap(TimePoint since) const;
    // The keys' longest gaps, ascending.
    std::vector<Duration> gaps(TimePoint since) const;
    // Submissions that ended without an answer.
    std::size_t failures() const
    {
        return failures_;
    }
    std::size_t answered() const
    {
        return answered_;
    }
    // Failures by reason, for messages.
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
