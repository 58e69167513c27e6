// Checks that a backend server gets no more requests than the limit that it names allows.
#pragma once

#include <LibBase/LibBase.h>

#include <deque>
#include <optional>
#include <string>

namespace Goldcrestwall {

// Counts the requests that arrive after a server has named a limit.
//
// The promise: from `Settling` after the server first named a limit, it gets in no window of four seconds more than one and a half
// times what the limit allows, plus five requests. Requests within half a second of the naming do not count, since their senders
// need not have known. Stricter than the promise: all instances count as told from then on.
class LimitMeter
{
public:
    static constexpr Duration Window = 4s;
    static constexpr Duration Settling = 3s;

    // From now on the server names this limit, in requests per second; none if it is not set.
    void setLimit(std::optional<double> limit, TimePoint now);
    // Records a request. Returns the number of requests in the window that ends now if it breaks the promise.
    std::optional<std::size_t> recordArrival(TimePoint now);

private:
    std::optional<double> limit_;
    TimePoint namedAt_;
    std::deque<TimePoint> arrivals_;
};

} // namespace Goldcrestwall
