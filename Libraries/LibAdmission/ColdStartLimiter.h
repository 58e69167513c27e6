// Limits the concurrency at a backend server that has just started.
#pragma once

#include <LibBase/LibBase.h>

namespace Goldcrestwall {

// What a server bears.
struct ColdStartSettings
{
    // Requests at once while it is cold, and when it is warm.
    std::uint32_t coldSlots_ = 1;
    std::uint32_t slots_ = 2;
    // How many requests warm it up.
    std::uint32_t warmupRequests_ = 20;

    auto operator<=>(const ColdStartSettings &) const = default;
};

// Starts at what a cold server bears and grows once it has served enough. Any sign that the server is cold again drops the limit at
// once.
class ColdStartLimiter
{
public:
    ColdStartLimiter(ColdStartSettings settings, TimePoint now);

    // How many requests may be in flight now.
    std::uint32_t limit() const
    {
        return limit_;
    }
    bool isWarm() const
    {
        return limit_ >= settings_.slots_;
    }

    // A request succeeded after `latency`.
    void recordSuccess(Duration latency, TimePoint now);
    // The server refused work because it has too much.
    void recordShed(TimePoint now);
    // Takes over what another gate has learned about the same boot of the server.
    void restore(std::uint32_t limit, std::uint32_t successes);
    std::uint32_t successes() const
    {
        return successes_;
    }
    // The server started anew, or must be assumed to have done so.
    void setCold(TimePoint now);

private:
    ColdStartSettings settings_;
    std::uint32_t limit_;
    std::uint32_t successes_ = 0;
    std::uint32_t slowStreak_ = 0;
    TimePoint raisedAt_;
    // Smoothed latency of the warm server in microseconds; 0 until known.
    double warmLatency_ = 0;
};

} // namespace Goldcrestwall
