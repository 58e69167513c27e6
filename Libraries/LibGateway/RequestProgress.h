// State of one request while it is handled.
#pragma once

#include <LibGateway/PlacementService.h>

namespace Goldcrestwall::Gateway {

// What is known of a caller's request: how it is to be handled, what has been tried and what came of it.
struct RequestProgress
{
    Platform::CallerHeaders headers_;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    TimePoint latencyObjectiveAt_;
    bool isCallerRetry_ = false;
    std::shared_ptr<const RoutingConfiguration> configuration_;
    // How old the view was when the route was chosen, if known.
    std::optional<Duration> viewAge_;
    const Route *route_ = nullptr;
    std::string service_;
    std::shared_ptr<RequestControl> control_;
    // Servers that the request was sent to, whether or not they ran it.
    std::vector<std::string> servers_;
    // Servers that the request was kept from.
    std::vector<std::string> withheldFrom_;
    // The server whose limit was the reason for a rejection.
    std::string limitedServer_;
    std::uint32_t sends_ = 0;
    std::uint32_t replacements_ = 0;
    bool mayHaveRun_ = false;
    AttemptKind nextAttempt_ = AttemptKind::First;
    HttpResponse response_;
    std::string lastFailure_;
    PlacementSource source_ = PlacementSource::Local;
    Duration waited_ = Duration::zero();

    bool isIdempotent() const
    {
        return mayRunAgain(route_->kind_);
    }
};

} // namespace Goldcrestwall::Gateway
