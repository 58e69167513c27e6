// Names of the reasons for rejections.
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
    }
    return "unknown";
}

} // namespace Goldcrestwall::Gateway
