// Server health: detection of lost, recovered and restarted servers.
#include <LibAdmission/ServerHealth.h>

#include <algorithm>

namespace Goldcrestwall {

ServerHealth::ServerHealth(HealthCheckSettings settings, TimePoint now)
    : settings_(settings)
    , lastSuccess_(now)
    , nextProbeAt_(now)
{
}

HealthChange ServerHealth::recordSuccess(const ServerContact &contact, TimePoint startedAt, TimePoint)
{
    // A late response only proves that the server was alive when the contact started.
    lastSuccess_ = std::max(lastSuccess_, startedAt);
    failures_ = 0;
    isDraining_ = contact.isDraining_;
    const bool isRestarted = !bootId_.empty() && !contact.bootId_.empty() && contact.bootId_ != bootId_;
    if (!contact.bootId_.empty()) {
        bootId_ = contact.bootId_;
    }
    const bool wasLost = isLost_;
    isLost_ = false;
    if (isRestarted) {
        return HealthChange::Restarted;
    }
    return wasLost ? HealthChange::Recovered : HealthChange::None;
}

void ServerHealth::recordFailure(TimePoint now)
{
    ++failures_;
    if (failures_ >= settings_.minimumFailures_ && now - lastSuccess_ >= settings_.lostAfter_) {
        isLost_ = true;
    }
}

} // namespace Goldcrestwall
