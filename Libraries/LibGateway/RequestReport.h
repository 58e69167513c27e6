// Log lines and metrics of requests.
#pragma once

#include <LibGateway/RequestProgress.h>

#include <LibMetrics/LibMetrics.h>

namespace Goldcrestwall::Gateway {

// Writes a line for each decision on a request, with what it was based on. docs/OPERATIONS.md describes the lines.
class RequestReport
{
public:
    RequestReport(const StoreView &view, EventLog &log, MetricRegistry &metrics);

    // The request ended. `status` is 0 if the caller got no response.
    void ended(const RequestProgress &progress, unsigned status, const char *reason, TimePoint now);
    // The request was not sent to the server that was chosen for it. `attempt` is how long the attempt had lasted.
    void withheld(const RequestProgress &progress, const PlacementResult &place, const SendDecision &decision, Duration attempt, TimePoint now);
    void attemptFailed(const RequestProgress &progress, const PlacementResult &place, const ExchangeResult &result, Duration took, TimePoint now);
    // A server that is leaving responded. Tells how long before that the request was sent; negative if this instance knew.
    void leavingServerResponded(const RequestProgress &progress, const PlacementResult &place, const LeavingNotice &notice, TimePoint sentAt, TimePoint now);

private:
    const StoreView &view_;
    EventLog &log_;
    MetricRegistry &metrics_;
};

} // namespace Goldcrestwall::Gateway
