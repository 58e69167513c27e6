// Concurrency limit for a backend server that has just started and is still warming up.
#pragma once

#include <LibBase/LibBase.h>

namespace Goldcrestwall {

// The configured concurrency of one server.
struct ColdStartSettings
{
    // Maximum number of concurrent requests while the server is cold, and once it is warm.
    std::uint32_t coldSlots_ = 1;
    std::uint32_t slots_ = 2;
    // Number of successful requests after which the limit starts to grow.
    std::uint32_t warmupRequests_ = 20;

    auto operator<=>(const ColdStartSettings &) const = default;
};

// Starts at the cold limit and raises it step by step to the warm limit once the server has served `warmupRequests_` requests. A
// restart of the server, or a run of unusually slow responses, resets the limit at once.
class ColdStartLimiter
{
public:
    ColdStartLimiter(ColdStartSettings settings, TimePoint now);

    // Maximum number of requests in flight at present.
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
    // The server shed a request because it is overloaded; lowers the limit by one.
    void recordShed(TimePoint now);
    // Restores the state that the previous dispatcher learned for the same boot of the server.
    void restore(std::uint32_t limit, std::uint32_t successes);
    std::uint32_t successes() const
    {
        return successes_;
    }
    // The server has restarted, or must be assumed to have restarted.
    void setCold(TimePoint now);

private:
    ColdStartSettings settings_;
    std::uint32_t limit_;
    std::uint32_t successes_ = 0;
    std::uint32_t slowStreak_ = 0;
    TimePoint raisedAt_;
    // Smoothed latency of the warm server in microseconds; 0 while unknown.
    double warmLatency_ = 0;
};

} // namespace Goldcrestwall
