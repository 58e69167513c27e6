// Time types. Decision code never reads a clock: the caller passes the present time.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace Goldcrestwall {

// The tag of the monotonic time line of one process. Values of two processes are not comparable.
struct MonotonicTimeline
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MonotonicTimeline>;
    // The name is required of clocks by the standard library.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

// A span of time in microseconds.
using Duration = MonotonicTimeline::duration;

// A moment on the monotonic time line, in microseconds since an arbitrary start.
using TimePoint = MonotonicTimeline::time_point;

// A moment of civil time in milliseconds since the Unix epoch; comparable between machines up to their clock error.
using UnixMilliseconds = std::int64_t;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

// Reads the monotonic clock. Only adapters and event loops call this; decisions take the time as an argument.
inline TimePoint monotonicNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// A span of time times a factor.
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// Reads the boot clock, which also counts the time that a machine was suspended. Leases, deadlines and ages are measured on it.
inline TimePoint bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

// Reads the civil clock. Only adapters call this.
inline UnixMilliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace Goldcrestwall
