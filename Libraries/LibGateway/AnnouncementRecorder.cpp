// Turns the headers of responses into signs about servers.
#include "AnnouncementRecorder.h"

namespace Goldcrestwall::Gateway {

AnnouncementRecorder::AnnouncementRecorder(std::string instance, std::shared_ptr<ServerNotices> notices, EventLog &log, MetricRegistry &metrics)
    : instance_(std::move(instance))
    , notices_(std::move(notices))
    , log_(log)
    , metrics_(metrics)
{
}

Platform::ServerAnnouncement AnnouncementRecorder::record(const ServerIncarnation &server, const HttpResponse &response, TimePoint now)
{
    const auto announcement = Platform::readAnnouncement(response, server.id_);
    for (std::uint32_t i = 0; i < announcement.unreadableHeaders_; ++i) {
        metrics_.increment("goldcrestwall_unreadable_announcements_total", {});
    }
    if (announcement.isLeaving_) {
        notices_->recordLeaving(server, {LeavingReason::Announced, NoticeSource::Response, now, now, 0}, now);
    }
    if (announcement.retryAfter_) {
        notices_->holdBack(server, instance_, *announcement.retryAfter_, now);
        metrics_.increment("goldcrestwall_servers_held_back_total", {});
        log_.write(LogLine("server-held-back").add("server", server.id_).add("incarnation", server.startTime_).addDuration("forMs", *announcement.retryAfter_),
                   LogImportance::Kept,
                   now);
    }
    return announcement;
}

} // namespace Goldcrestwall::Gateway
