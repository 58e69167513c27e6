// Records what servers say in their responses about further requests.
#pragma once

#include <LibGateway/EventLog.h>

#include <LibMetrics/LibMetrics.h>

#include <platform/Platform.h>

#include <memory>
#include <string>

namespace Goldcrestwall::Gateway {

// Reads each response of a server and records that it is leaving, or that it wants no requests from this instance for a while.
class AnnouncementRecorder
{
public:
    AnnouncementRecorder(std::string instance, std::shared_ptr<ServerNotices> notices, EventLog &log, MetricRegistry &metrics);

    Platform::ServerAnnouncement record(const ServerIncarnation &server, const HttpResponse &response, TimePoint now);
    // Whether this instance may send a request to the server now.
    SendDecision decide(const ServerIncarnation &server, bool isEvacuated, TimePoint now) const
    {
        return notices_->decide(server, instance_, isEvacuated, now);
    }

private:
    std::string instance_;
    std::shared_ptr<ServerNotices> notices_;
    EventLog &log_;
    MetricRegistry &metrics_;
};

} // namespace Goldcrestwall::Gateway
