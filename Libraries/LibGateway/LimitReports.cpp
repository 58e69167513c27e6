// Keeps the last report of each limit.
#include "LimitReports.h"

namespace Goldcrestwall::Gateway {

namespace {

// As many as there can be limits.
constexpr std::size_t MaxReports = 4000;

} // namespace

void LimitReports::record(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t nextNumber, TimePoint now)
{
    if (reports_.size() >= MaxReports && !reports_.contains(server)) {
        // The coordinators are told again when the next requests are sent to them.
        reports_.clear();
    }
    reports_[server] = {link, nextNumber, now};
}

bool LimitReports::isTold(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, TimePoint namedAt) const
{
    const auto report = reports_.find(server);
    return report != reports_.end() && report->second.toldAt_ >= namedAt && report->second.link_.lock() == link;
}

bool LimitReports::wasToldBefore(const ServerIncarnation &server, const std::shared_ptr<PeerLink> &link, std::uint64_t number) const
{
    const auto report = reports_.find(server);
    return link && report != reports_.end() && number >= report->second.nextNumber_ && report->second.link_.lock() == link;
}

void LimitReports::forget(const ServerIncarnation &server)
{
    reports_.erase(server);
}

} // namespace Goldcrestwall::Gateway
