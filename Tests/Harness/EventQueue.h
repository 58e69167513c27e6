// A queue that runs events in the order of simulated time.
#pragma once

#include <LibBase/LibBase.h>

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace Goldcrestwall {

// Runs events by time. Events at the same time run in the order in which they were added, so that a run depends only on its seed.
class EventQueue
{
public:
    explicit EventQueue(std::uint64_t seed)
        : random_(seed)
    {
    }

    TimePoint now() const
    {
        return now_;
    }
    std::mt19937_64 &random()
    {
        return random_;
    }
    // Returns a random number in [0, 1).
    double uniform()
    {
        return static_cast<double>(random_() >> 11) * 0x1.0p-53;
    }
    // Returns a random duration in [low, high).
    Duration uniform(Duration low, Duration high)
    {
        return low + Duration(static_cast<Duration::rep>(uniform() * static_cast<double>((high - low).count())));
    }

    void after(Duration delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++lastSequence_, std::move(run)});
    }

    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.top().time_ <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time_;
            event.run_();
        }
        now_ = end;
    }

private:
    struct Event
    {
        TimePoint time_;
        std::uint64_t sequence_;
        std::function<void()> run_;

        bool operator<(const Event &other) const
        {
            return std::tie(time_, sequence_) > std::tie(other.time_, other.sequence_);
        }
    };

    TimePoint now_;
    std::mt19937_64 random_;
    std::uint64_t lastSequence_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace Goldcrestwall
