// Which coordinators and assignments the view keeps when the store comes back from an older copy.
#include "StoreView.h"

namespace Goldcrestwall::Gateway {

void StoreView::keepOwnEntries(const std::set<std::string> &present, StoreVersion at)
{
    const StoreVersion missing(at.era_, 0);
    for (auto &[service, coordinator] : coordinators_) {
        if (!present.contains(coordinatorKey(service))) {
            coordinator.version_ = missing;
        }
    }
    for (auto &[service, assignment] : assignments_) {
        if (!present.contains(assignmentKey(service))) {
            assignment.version_ = missing;
            assignment.isStored_ = false;
        }
    }
}

void StoreView::putCoordinator(const std::string &service, const CoordinatorEntry &coordinator)
{
    const auto known = coordinators_.find(service);
    if (known == coordinators_.end() || coordinator.isStored() || coordinator.writtenAt_ > known->second.writtenAt_) {
        coordinators_[service] = coordinator;
    } else {
        known->second.version_ = coordinator.version_;
    }
}

void StoreView::removeCoordinator(const std::string &service, StoreVersion version)
{
    const auto known = coordinators_.find(service);
    if (known != coordinators_.end() && known->second.writtenAt_.era_ < version.era_) {
        known->second.version_ = {version.era_, 0};
    } else {
        coordinators_.erase(service);
    }
}

void StoreView::putAssignment(const std::string &service, ShardAssignment assignment, StoreVersion version, TimePoint now)
{
    const auto known = assignments_.find(service);
    // Tokens only rise, so that an assignment with a lower next one is older.
    if (known == assignments_.end() || assignment.era_ == version.era_ || assignment.nextToken_ >= known->second.assignment_.nextToken_) {
        assignments_[service] = {std::move(assignment), version, now, true};
    } else {
        known->second.version_ = version;
        known->second.isStored_ = false;
    }
}

} // namespace Goldcrestwall::Gateway
