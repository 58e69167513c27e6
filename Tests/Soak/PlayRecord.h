// What was done to a deployment while a series of faults was played.
#pragma once

#include "FaultSeries.h"

#include <LibBase/LibBase.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Goldcrestwall::Soak {

// What a disturbance concerns.
enum class Subject {
    // Pauses and kills of an instance's process.
    Process,
    PlannedStop,
    // Connections of an instance to the store that are cut altogether or slow. Faults of open connections alone are none.
    StoreLink,
    Store,
    // Connections to a server that are cut altogether or slow.
    ServerLink,
    // A server, or its open connections.
    Server,
};

struct Disturbance
{
    Subject subject_ = Subject::Process;
    // Index of the instance or server; 0 for the store.
    std::size_t index_ = 0;
    TimePoint from_;
    TimePoint until_ = TimePoint::max();

    auto operator<=>(const Disturbance &) const = default;
};

// A change that was acknowledged at a time and holds until another.
struct AcknowledgedPeriod
{
    // Index of the server or domain.
    std::size_t index_ = 0;
    TimePoint acknowledgedAt_;
    TimePoint until_ = TimePoint::max();

    auto operator<=>(const AcknowledgedPeriod &) const = default;
};

struct RouteChange
{
    std::size_t route_ = 0;
    RouteState state_ = RouteState::Absent;
    TimePoint sentAt_;
    TimePoint acknowledgedAt_;

    auto operator<=>(const RouteChange &) const = default;
};

struct PlayRecord
{
    TimePoint startedAt_;
    // The faults as they were played, one a line.
    std::vector<std::string> story_;
    std::vector<Disturbance> disturbances_;
    std::vector<AcknowledgedPeriod> leavings_;
    std::vector<AcknowledgedPeriod> evacuations_;
    std::vector<RouteChange> routeChanges_;

    bool isCalm(Subject subject, std::size_t index, TimePoint from, TimePoint until) const
    {
        return std::ranges::none_of(disturbances_, [&](const Disturbance &disturbance) {
            return disturbance.subject_ == subject && disturbance.index_ == index && disturbance.from_ <= until && from <= disturbance.until_;
        });
    }
};

} // namespace Goldcrestwall::Soak
