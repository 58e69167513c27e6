// Turns the headers of responses into signs about servers.
#include "AnnouncementRecorder.h"

namespace Goldcrestwall::Gateway {

namespace {

// Servers beyond this number are counted but not logged.
constexpr std::size_t MaxReportedUnreadable = 1000;

} // namespace

AnnouncementRecorder::AnnouncementRecorder(std::string instance, std::shared_ptr<ServerNotices> notices, EventLog &log, MetricRegistry &metrics)
    : instance_(std::move(instance))
    , notices_(std::move(notices))
    , log_(log)
    , metrics_(metrics)
{
}

Platform::ServerAnnouncement AnnouncementRecorder::record(const ServerIncarnation &server, const HttpResponse &response, TimePoint sentAt, TimePoint now)
{
    const auto announcement = Platform::readAnnouncement(response, server.id_);
    reportUnreadable(server, announcement, now);
    if (announcement.limit_) {
        notices_->limits().recordNamed(server, *announcement.limit_, NoticeSource::Response, sentAt, now);
        metrics_.increment("goldcrestwall_limited_responses_total", {});
    }
    if (announcement.isLeaving_) {
        notices_->recordLeaving(server, {LeavingReason::Announced, NoticeSource::Response, now, now, {}}, now);
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

void AnnouncementRecorder::recordNoLimit(const ServerIncarnation &server, TimePoint sentAt, TimePoint now)
{
    notices_->limits().recordAbsent(server, sentAt, now);
}

void AnnouncementRecorder::reportUnreadable(const ServerIncarnation &server, const Platform::ServerAnnouncement &announcement, TimePoint now)
{
    for (std::uint32_t i = 0; i < announcement.unreadableHeaders_; ++i) {
        metrics_.increment("goldcrestwall_unreadable_announcements_total", {});
    }
    const bool mustLog = announcement.unreadableHeaders_ > 0 && reportedUnreadable_.size() < MaxReportedUnreadable;
    if (mustLog && reportedUnreadable_.insert(server).second) {
        log_.write(LogLine("server-announcement-unreadable").add("server", server.id_).add("incarnation", server.startTime_), LogImportance::Kept, now);
    }
}

} // namespace Goldcrestwall::Gateway
