// Records what servers say in their responses about further requests.
#pragma once

#include <LibGateway/EventLog.h>

#include <LibMetrics/LibMetrics.h>

#include <platform/Platform.h>

#include <memory>
#include <set>
#include <string>

namespace Goldcrestwall::Gateway {

// Reads each response of a server and records that it is leaving, that it wants no requests from this instance for a while, or how many
// requests per second it accepts from all instances.
class AnnouncementRecorder
{
public:
    AnnouncementRecorder(std::string instance, std::shared_ptr<ServerNotices> notices, EventLog &log, MetricRegistry &metrics);

    // `sentAt` is when the request was sent.
    Platform::ServerAnnouncement record(const ServerIncarnation &server, const HttpResponse &response, TimePoint sentAt, TimePoint now);
    // A response to a request, sent at `sentAt`, named no limit.
    void recordNoLimit(const ServerIncarnation &server, TimePoint sentAt, TimePoint now);
    // Whether this instance may send a request to the server now.
    SendDecision decide(const ServerIncarnation &server, bool isEvacuated, TimePoint now) const
    {
        return notices_->decide(server, instance_, isEvacuated, now);
    }

    // The limit that the server has named, or null.
    const ServerLimit *limitOf(const ServerIncarnation &server) const
    {
        return notices_->limits().find(server);
    }

private:
    void reportUnreadable(const ServerIncarnation &server, const Platform::ServerAnnouncement &announcement, TimePoint now);

    std::string instance_;
    std::shared_ptr<ServerNotices> notices_;
    EventLog &log_;
    MetricRegistry &metrics_;
    // Servers whose unreadable headers have been logged.
    std::set<ServerIncarnation> reportedUnreadable_;
};

} // namespace Goldcrestwall::Gateway
