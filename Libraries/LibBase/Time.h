// Time types and clocks. Decision logic never reads a clock; its callers pass the current time.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace Goldcrestwall {

// Clock tag for the monotonic time points of one process. Time points of two processes are not comparable.
struct MonotonicTimeline
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MonotonicTimeline>;
    // The standard library requires this name of clocks.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

// A duration in microseconds.
using Duration = MonotonicTimeline::duration;

// A monotonic time point, in microseconds since an arbitrary epoch.
using TimePoint = MonotonicTimeline::time_point;

// Wall-clock time in milliseconds since the Unix epoch; comparable between machines up to their clock skew.
using UnixMilliseconds = std::int64_t;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

// Reads the monotonic clock. Only adapters and event loops call this; decision logic takes the time as an argument.
inline TimePoint monotonicNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// Multiplies a duration by a factor.
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// Reads the boot-time clock, which also advances while the machine is suspended. Leases, deadlines and ages are measured with it.
inline TimePoint bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

// Reads the wall clock. Only adapters call this.
inline UnixMilliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace Goldcrestwall
