// Names of the reasons for rejections, and what reports say.
#include "Placement.h"

namespace Goldcrestwall::Gateway {

const char *rejectReasonName(RejectReason reason)
{
    switch (reason) {
    case RejectReason::NoServer:
        return "no-server";
    case RejectReason::Overload:
        return "overload";
    case RejectReason::RetryBudget:
        return "repeat-budget";
    case RejectReason::NoOwner:
        return "no-owner";
    case RejectReason::HeldBack:
        return "held-back";
    case RejectReason::ServerLimit:
        return "server-limit";
    }
    return "unknown";
}

bool wasSent(const PlacementReport &report)
{
    return report.outcome_ != PlacementOutcome::Unreachable && report.duration_ > Duration::zero();
}

} // namespace Goldcrestwall::Gateway
