// Times of the cases.
#pragma once

#include <chrono>

namespace Review {

using namespace std::chrono_literals;

using Clock = std::chrono::steady_clock;
using Duration = std::chrono::milliseconds;
using TimePoint = Clock::time_point;

inline Duration elapsed(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Duration>(to - from);
}

} // namespace Review
