// Start, message dispatch, settings reload and planned stop of an instance.
#include "Gateway.h"

#include "Tasks.h"

#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <limits>
#include <random>

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration TickInterval = 50ms;
// When a newer configuration has been known to exist for this time, it is read from the store, and again after the second time.
constexpr Duration ConfigurationFetchLag = 1s;
constexpr Duration ConfigurationFetchInterval = 500ms;
// A longer gap between two ticks means that the process was suspended.
constexpr Duration SuspensionGap = 600ms;
constexpr Duration SettingsInterval = 1s;
// Longer delays of the event loop are logged.
constexpr Duration ReportedLoopDelay = 200ms;
// Longer round trips to peers are logged, one in each interval.
constexpr Duration ReportedRoundTrip = 200ms;
constexpr Duration RoundTripReportInterval = 500ms;
constexpr Duration MemoryInterval = 500ms;
// The platform stops routing new callers to the instance within this time after it reports that it is not ready.
constexpr Duration ReadinessPropagationTime = 3s;
// The process stops unconditionally this long before the grace period ends.
constexpr Duration StopMargin = 300ms;

std::string makeIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return std::to_string((high << 32U) | device());
}

// Returns how many callers may be connected: three quarters of the descriptors, the rest is for servers, other instances and the store.
std::size_t maxCallerConnections()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(limit.rlim_cur) / 4 * 3;
}

std::int64_t modificationTime(const std::string &path)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) != 0) {
        return 0;
    }
    return status.st_mtim.tv_sec * 1000000000LL + status.st_mtim.tv_nsec;
}

HttpResponse makeStatusResponse(unsigned status, const std::string &body)
{
    HttpResponse response;
    response.result(status);
    response.body() = body;
    return response;
}

} // namespace

Result<std::unique_ptr<Gateway>> Gateway::create(GatewayOptions options, Platform::PlatformSettings settings)
{
    std::unique_ptr<Gateway> gateway(new Gateway(std::move(options), std::move(settings)));
    if (const auto error = gateway->start()) {
        return error;
    }
    return gateway;
}

Gateway::Gateway(GatewayOptions options, Platform::PlatformSettings settings)
    : options_(std::move(options))
    , settings_(std::move(settings))
    , self_{settings_.name_, makeIncarnation(), settings_.peerAddress_, settings_.domain_, settings_.cpuMillicores_}
    , memory_(MemoryAccount::capacityWithin(settings_.memoryBytes_))
    , loop_(1)
    , log_(settings_.name_)
    , notices_(std::make_shared<ServerNotices>(
          [this](const ServerChange &change, TimePoint now) {
              reportServerChange(change, now);
          },
          [this](const LimitChange &change, TimePoint now) {
              reportLimitChange(change, now);
          }))
    , announcements_(self_.name_, notices_, log_, metrics_)
    , view_(
          [this](const std::string &key, const std::string &reason) {
              reportEntry(key, reason, bootNow());
          },
          notices_)
    , store_(loop_, settings_.storeAddress_, memory_)
    , storeLink_(loop_,
                 store_,
                 view_,
                 self_,
                 log_,
                 {[this] {
                      viewChanged();
                  },
                  [this] {
                      coordination_.refresh(bootNow());
                  }})
    , network_(loop_, HelloMessage{self_.name_, self_.incarnation_, settings_.domain_}, log_, makePeerHandlers())
    , relay_(self_.name_, settings_.domain_, view_, storeLink_, network_, notices_, log_)
    , placement_(
          loop_, self_.name_, settings_.domain_, view_, network_, {settings_.retryRatio_, settings_.retryReserve_, settings_.retryWindow_}, notices_, log_)
    , client_(loop_)
    , coordination_(loop_,
                    self_,
                    GrantTimings::within(settings_.maxHoldTime_),
                    settings_.isFirstStart_,
                    view_,
                    store_,
                    storeLink_,
                    network_,
                    placement_,
                    announcements_,
                    log_)
    , flow_(loop_, view_, storeLink_, placement_, client_, announcements_, log_, metrics_)
    , front_(loop_, loopDelay_, view_, flow_, memory_, maxCallerConnections(), log_, metrics_)
    , readyServer_(loop_,
                   [this](const HttpRequest &request) {
                       return handleStatusRequest(request);
                   })
    , metricsServer_(loop_,
                     [this](const HttpRequest &) {
                         updateMetrics();
                         return makeStatusResponse(200, metrics_.expose());
                     })
    , signals_(loop_, SIGTERM, SIGINT, SIGHUP)
{
}

std::error_code Gateway::start()
{
    if (const auto error = front_.listen(settings_.callerAddress_)) {
        return error;
    }
    if (const auto error = readyServer_.listen(settings_.readyAddress_)) {
        return error;
    }
    if (const auto error = network_.listen(settings_.peerAddress_)) {
        return error;
    }
    if (const auto error = metricsServer_.listen(settings_.address_ + ":" + std::to_string(options_.metricsPort_))) {
        return error;
    }
    return {};
}

void Gateway::run()
{
    const TimePoint now = bootNow();
    log_.write(LogLine("started").add("incarnation", self_.incarnation_).add("domain", settings_.domain_), LogImportance::State, now);
    settingsChangedAt_ = modificationTime(options_.settingsPath_);
    tickedAt_ = now;
    storeLink_.start();
    spawnSupervised(loop_, log_, "tick", [this] {
        return tick();
    });
    spawnSupervised(loop_, log_, "signals", [this] {
        return awaitSignals();
    });
    runLoop();
    log_.write(LogLine("stopped"), LogImportance::State, bootNow());
    log_.flush();
}

void Gateway::runLoop()
{
    // An exception thrown by a handler ends only that handler.
    while (!loop_.stopped()) {
        try {
            loop_.run();
        } catch (...) {
            logUnexpected(log_, "handler", std::current_exception());
        }
    }
}

PeerNetwork::Handlers Gateway::makePeerHandlers()
{
    PeerNetwork::Handlers handlers;
    handlers.incoming_ = [this](const std::shared_ptr<PeerLink> &link, PeerMessage message) {
        handleIncoming(link, std::move(message));
    };
    handlers.incomingClosed_ = [this](const std::shared_ptr<PeerLink> &link) {
        relay_.removePeer(link);
        placement_.removePeer(link);
    };
    handlers.outgoing_ = [this](const std::shared_ptr<PeerLink> &link, PeerMessage message) {
        handleOutgoing(link, std::move(message));
    };
    handlers.opened_ = [this](const std::string &address, const std::shared_ptr<PeerLink> &link) {
        placement_.reportHeldPlacements(address, link);
    };
    return handlers;
}

void Gateway::handleIncoming(const std::shared_ptr<PeerLink> &link, PeerMessage message)
{
    const TimePoint now = bootNow();
    if (const auto *hello = std::get_if<HelloMessage>(&message)) {
        link->setInstance(hello->instance_, hello->domain_);
    } else if (const auto *placementRequest = std::get_if<PlacementRequestMessage>(&message)) {
        placement_.handlePlacementRequest(link, *placementRequest, now);
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message)) {
        placement_.handleCancel(link, *cancel);
    } else if (const auto *finish = std::get_if<FinishMessage>(&message)) {
        placement_.handleFinish(link, *finish, now);
    } else if (const auto *held = std::get_if<HeldPlacementMessage>(&message)) {
        placement_.handleHeldPlacement(link, *held, now);
    } else if (const auto *ping = std::get_if<PingMessage>(&message)) {
        relay_.handlePing(link, *ping, now);
    } else if (const auto *request = std::get_if<ViewRequestMessage>(&message)) {
        relay_.handleRequest(link, *request, now);
    } else if (auto *change = std::get_if<ViewChangeMessage>(&message)) {
        handleChange(link, std::move(*change), now);
    }
}

void Gateway::handleOutgoing(const std::shared_ptr<PeerLink> &link, PeerMessage message)
{
    const TimePoint now = bootNow();
    if (const auto *hello = std::get_if<HelloMessage>(&message)) {
        link->setInstance(hello->instance_, hello->domain_);
    } else if (const auto *queued = std::get_if<QueuedMessage>(&message)) {
        placement_.handleQueued(*queued);
    } else if (const auto *declined = std::get_if<DeclinedMessage>(&message)) {
        placement_.handleDeclined(*declined);
    } else if (const auto *placed = std::get_if<PlacementMessage>(&message)) {
        placement_.handlePlacement(link, *placed);
    } else if (const auto *rejected = std::get_if<RejectionMessage>(&message)) {
        placement_.handleRejection(*rejected);
    } else if (const auto *pong = std::get_if<PongMessage>(&message)) {
        recordPeerDelay(*link, *pong, now);
        relay_.handlePong(link, *pong, now);
    } else if (auto *update = std::get_if<ViewUpdateMessage>(&message)) {
        if (relay_.handleUpdate(link, std::move(*update), now)) {
            viewChanged();
        }
    } else if (auto *change = std::get_if<ViewChangeMessage>(&message)) {
        handleChange(link, std::move(*change), now);
    }
}

void Gateway::handleChange(const std::shared_ptr<PeerLink> &link, ViewChangeMessage message, TimePoint now)
{
    if (relay_.handleChange(link, std::move(message), now)) {
        viewChanged();
    }
}

bool Gateway::isReady(TimePoint now) const
{
    if (isStopping_ || !view_.configuration() || view_.serverCount() == 0) {
        return false;
    }
    return hasBeenReady_ || storeLink_.isCurrent(now);
}

HttpResponse Gateway::handleStatusRequest(const HttpRequest &request)
{
    if (request.target() != Platform::ReadyPath) {
        return makeStatusResponse(404, {});
    }
    const bool isReadyNow = isReady(bootNow());
    if (isReadyNow && !hasBeenReady_) {
        log_.write(LogLine("ready").add("configuration", configurationVersion_).add("storeVersion", view_.at()), LogImportance::State, bootNow());
    }
    hasBeenReady_ = hasBeenReady_ || isReadyNow;
    return makeStatusResponse(isReadyNow ? 200 : 503, {});
}

void Gateway::reportEntry(const std::string &key, const std::string &reason, TimePoint now)
{
    if (entryProblems_.isDue(key, reason, now)) {
        const auto importance = key == Platform::ConfigurationKey ? LogImportance::State : LogImportance::Kept;
        log_.write(LogLine("entry-unusable").add("key", key).add("reason", reason).add("storeVersion", view_.at()), importance, now);
    }
}

void Gateway::reportEra(TimePoint now)
{
    if (view_.eraRead() == reportedEraRead_) {
        return;
    }
    reportedEraRead_ = view_.eraRead();
    log_.write(makeEraLine(*reportedEraRead_, now), LogImportance::State, now);
}

void Gateway::viewChanged()
{
    const TimePoint now = bootNow();
    reportEra(now);
    const auto configuration = view_.configuration();
    if (configuration && configuration->version_ != configurationVersion_) {
        configurationVersion_ = configuration->version_;
        log_.write(LogLine("configuration-in-force")
                       .add("version", configuration->version_)
                       .add("routes", configuration->routes_.size())
                       .add("storeVersion", view_.at())
                       .addDuration("viewAgeMs", observeChangeAge("configuration", now))
                       .addDuration("loopDelayMs", loopDelay_.delay(now)),
                   LogImportance::State,
                   now);
    }
    relay_.announce(now);
    coordination_.refresh(now);
    placement_.refresh(now);
    relay_.refresh(settings_.seeds_, now);
    coordination_.run(isStopping_, now);
}

std::optional<Duration> Gateway::observeChangeAge(const char *change, TimePoint now)
{
    const auto age = storeLink_.viewAge(now);
    if (age) {
        metrics_.observe("goldcrestwall_change_age_seconds", {{"change", change}}, *age);
    }
    return age;
}

void Gateway::reportServerChange(const ServerChange &change, TimePoint now)
{
    LogLine line(change.notice_ ? "server-leaving" : "server-ready-again");
    line.add("server", change.server_.id_).add("incarnation", change.server_.startTime_);
    if (change.notice_) {
        line.add("reason", leavingReasonName(change.notice_->reason_))
            .add("from", noticeSourceName(change.notice_->source_))
            .add("leavingVersion", change.notice_->version_)
            .addDuration("bindsInMs", change.notice_->bindsFrom_ - now)
            .addDuration("viewAgeMs", observeChangeAge("leaving", now))
            .addDuration("loopDelayMs", loopDelay_.delay(now))
            .add("requestsThere", placement_.heldPlacementCount(change.server_.id_));
    }
    log_.write(line.add("storeVersion", view_.at()), LogImportance::State, now);
}

void Gateway::reportLimitChange(const LimitChange &change, TimePoint now)
{
    LogLine line(change.after_ ? "server-limit" : "server-limit-ended");
    line.add("server", change.server_.id_).add("incarnation", change.server_.startTime_);
    if (change.after_) {
        line.add("rate", change.after_->rate_).add("from", noticeSourceName(change.after_->source_));
    }
    if (change.before_) {
        line.add("rateBefore", change.before_->rate_).addDuration("knownForMs", now - change.before_->learntAt_);
    }
    log_.write(line.add("requestsThere", placement_.heldPlacementCount(change.server_.id_)), LogImportance::State, now);
}

void Gateway::checkForSuspension(TimePoint now)
{
    const Duration gap = now - tickedAt_;
    tickedAt_ = now;
    if (gap > SuspensionGap) {
        log_.write(LogLine("process-stood-still").addDuration("gapMs", gap), LogImportance::State, now);
        storeLink_.invalidate();
        network_.resetLiveness();
    }
}

void Gateway::reportLoopDelay(TimePoint now)
{
    const Duration delay = loopDelay_.delay(now);
    metrics_.observe("goldcrestwall_loop_delay_seconds", {}, delay);
    const auto viewAge = storeLink_.viewAge(now);
    if (viewAge) {
        metrics_.observe("goldcrestwall_view_age_seconds", {}, *viewAge);
    }
    if (delay >= ReportedLoopDelay) {
        log_.write(LogLine("loop-late")
                       .addDuration("delayMs", delay)
                       .addDuration("viewAgeMs", viewAge)
                       .add("requests", front_.inFlightRequests())
                       .add("callerConnections", front_.connectionCount())
                       .add("waiting", placement_.queuedCount()),
                   LogImportance::State,
                   now);
    }
}

void Gateway::checkConfigurationLag(TimePoint now)
{
    if (isFetchingConfiguration_ || view_.configurationLag(now) < ConfigurationFetchLag || now - configurationFetchedAt_ < ConfigurationFetchInterval) {
        return;
    }
    isFetchingConfiguration_ = true;
    spawn(loop_, log_, "configuration", [this] {
        return fetchConfiguration();
    });
}

Task<void> Gateway::fetchConfiguration()
{
    const TimePoint sentAt = bootNow();
    const auto lag = view_.configurationLag(sentAt);
    auto page = co_await store_.readRange(Platform::ConfigurationKey, {});
    const TimePoint now = bootNow();
    isFetchingConfiguration_ = false;
    configurationFetchedAt_ = now;
    const bool isRead = page.outcome_ == Platform::StoreOutcome::Done;
    log_.write(LogLine("configuration-fetched")
                   .add("outcome", Platform::storeOutcomeName(page.outcome_))
                   .add("storeVersion", page.at_)
                   .add("known", view_.at())
                   .addDuration("lateMs", lag)
                   .addDuration("tookMs", now - sentAt),
               LogImportance::State,
               now);
    ViewChange change{{}, page.at_, false, std::move(page.items_), {}};
    std::erase_if(change.items_, [](const Platform::StoreItem &item) {
        return item.key_ != Platform::ConfigurationKey;
    });
    const bool isOfOtherEra = page.at_.era_ != view_.at().era_;
    bool isNew = isRead && !isOfOtherEra && view_.apply(change, now);
    if (isRead && isOfOtherEra) {
        for (const auto &item : change.items_) {
            isNew = view_.takeConfiguration(item) || isNew;
        }
    }
    if (isRead) {
        view_.confirmConfiguration();
    }
    if (isNew) {
        viewChanged();
    }
}

void Gateway::recordPeerDelay(PeerLink &link, const PongMessage &pong, TimePoint now)
{
    if (pong.pingSentAt_ == 0 || pong.sentAt_ == 0) {
        return;
    }
    const auto delay = linkDelay_.record(link.address(), TimePoint(Duration(pong.pingSentAt_)), TimePoint(Duration(pong.sentAt_)), now);
    metrics_.observe("goldcrestwall_peer_queue_seconds", {{"direction", "outgoing"}}, delay.outgoingQueue_);
    metrics_.observe("goldcrestwall_peer_queue_seconds", {{"direction", "incoming"}}, delay.incomingQueue_);
    if (delay.roundTrip_ < ReportedRoundTrip || now - linkDelayReportedAt_ < RoundTripReportInterval) {
        return;
    }
    linkDelayReportedAt_ = now;
    log_.write(LogLine("link-late")
                   .add("peer", link.address())
                   .addDuration("roundTripMs", delay.roundTrip_)
                   .addDuration("outgoingQueueMs", delay.outgoingQueue_)
                   .addDuration("incomingQueueMs", delay.incomingQueue_)
                   .addDuration("ownLinkMs", linkDelay_.incomingQueue(now))
                   .add("unsent", link.queuedTotal() - link.deliveredTotal())
                   .add("unread", link.unreadBytes())
                   .addDuration("loopDelayMs", loopDelay_.delay(now))
                   .add("requests", front_.inFlightRequests())
                   .add("callerConnections", front_.connectionCount()),
               LogImportance::State,
               now);
}

Task<void> Gateway::tick()
{
    for (;;) {
        co_await sleepFor(loop_, TickInterval);
        const TimePoint now = bootNow();
        loopDelay_.record(now);
        reportLoopDelay(now);
        // The work of this function delays the next firing, and other handlers alike.
        loopDelay_.expect(now + TickInterval);
        checkForSuspension(now);
        if (view_.removeExpired(now)) {
            viewChanged();
        }
        relay_.refresh(settings_.seeds_, now);
        relay_.follow(now);
        relay_.serve(now);
        checkConfigurationLag(now);
        coordination_.run(isStopping_, now);
        checkSettingsFile(now);
        checkMemory(now);
        client_.closeIdle(now);
        log_.flush();
    }
}

MemoryUse Gateway::memoryUse() const
{
    MemoryUse use;
    use.residentBytes_ = readResidentBytes();
    use.setAccount(memory_);
    for (const auto &link : network_.allLinks()) {
        use.peerOutputBytes_ += link->ownOutgoingBytes();
        use.peerInputBytes_ += link->incomingBytes();
        ++use.peerConnections_;
    }
    use.peerOutputBytes_ += relay_.answerBytes();
    use.viewBytes_ = view_.contentBytes();
    use.logBytes_ = log_.pendingBytes();
    use.callerConnections_ = front_.connectionCount();
    use.requestsInProgress_ = front_.inFlightRequests();
    use.waitingRequests_ = placement_.queuedCount();
    return use;
}

void Gateway::checkMemory(TimePoint now)
{
    if (now - memoryCheckedAt_ < MemoryInterval) {
        return;
    }
    memoryCheckedAt_ = now;
    if (memoryLog_.isDue(readResidentBytes(), settings_.memoryBytes_)) {
        log_.write(makeMemoryLine(memoryUse(), settings_.memoryBytes_), LogImportance::State, now);
    }
}

void Gateway::updateMetrics()
{
    setMemoryGauges(metrics_, memoryUse());
    metrics_.setGauge("goldcrestwall_view_answers", {{"state", "sending"}}, static_cast<double>(relay_.answersUnderWay()));
    metrics_.setGauge("goldcrestwall_view_answers", {{"state", "waiting"}}, static_cast<double>(relay_.waitingRequests()));
    metrics_.setGauge("goldcrestwall_view_answer_bytes", {}, static_cast<double>(relay_.answerBytes()));
    for (const auto &[reason, count] : network_.closedLinks()) {
        metrics_.setGauge("goldcrestwall_peer_links_closed", {{"reason", peerCloseReasonName(reason)}}, static_cast<double>(count));
    }
    metrics_.setGauge(
        "goldcrestwall_body_bytes", {}, static_cast<double>(memory_.reservedBy(MemoryHolder::Requests) + memory_.reservedBy(MemoryHolder::ResponseBodies)));
    metrics_.setGauge("goldcrestwall_store_calls", {}, static_cast<double>(store_.counters().calls_));
    metrics_.setGauge("goldcrestwall_store_failures", {}, static_cast<double>(store_.counters().failures_));
    metrics_.setGauge("goldcrestwall_server_connections_opened", {}, static_cast<double>(client_.connectionCount()));
    metrics_.setGauge("goldcrestwall_log_lines_left_out", {}, static_cast<double>(log_.droppedCount()));
    metrics_.setGauge("goldcrestwall_log_bytes", {}, static_cast<double>(log_.writtenBytes()));
    metrics_.setGauge("goldcrestwall_store_era", {}, static_cast<double>(view_.at().era_));
    metrics_.setGauge("goldcrestwall_store_era_newest", {}, static_cast<double>(storeLink_.knownEra()));
    metrics_.setGauge("goldcrestwall_store_revision", {}, static_cast<double>(view_.at().revision_));
    metrics_.setGauge("goldcrestwall_configuration_version", {}, static_cast<double>(configurationVersion_));
    metrics_.setGauge("goldcrestwall_configuration_version_newest", {}, static_cast<double>(view_.newestConfigurationVersion()));
}

Task<void> Gateway::awaitSignals()
{
    for (;;) {
        ErrorCode error;
        const int signal = co_await signals_.async_wait(redirectErrorTo(error));
        if (error) {
            co_return;
        }
        if (signal == SIGHUP) {
            reloadSettings("signal");
        } else if (!isStopping_) {
            isStopping_ = true;
            spawnSupervised(loop_, log_, "stop", [this] {
                return stop();
            });
        }
    }
}

void Gateway::checkSettingsFile(TimePoint now)
{
    if (now - settingsCheckedAt_ < SettingsInterval) {
        return;
    }
    settingsCheckedAt_ = now;
    if (modificationTime(options_.settingsPath_) != settingsChangedAt_) {
        reloadSettings("file-changed");
    }
}

void Gateway::reloadSettings(const char *cause)
{
    const TimePoint now = bootNow();
    settingsChangedAt_ = modificationTime(options_.settingsPath_);
    const auto reading = Platform::readSettingsFile(options_.settingsPath_);
    for (const auto &problem : reading.problems_) {
        log_.write(LogLine("settings-refused").add("setting", problem.name_).add("reason", problem.reason_), LogImportance::State, now);
    }
    if (!reading.problems_.empty()) {
        return;
    }
    const bool isChanged = reading.settings_ != settings_;
    const bool needsRestart = reading.settings_.callerAddress_ != settings_.callerAddress_ || reading.settings_.peerAddress_ != settings_.peerAddress_;
    log_.write(LogLine("settings-reloaded").add("cause", cause).add("changed", isChanged).add("needsRestart", needsRestart), LogImportance::State, now);
    settings_ = reading.settings_;
    memory_.setCapacity(MemoryAccount::capacityWithin(settings_.memoryBytes_));
    store_.setAddress(settings_.storeAddress_);
    relay_.refresh(settings_.seeds_, now);
}

Task<void> Gateway::unregister()
{
    // While the store is unreachable no other instance can take over, so this instance continues to coordinate its services.
    while (!storeLink_.isStoreReachable(bootNow())) {
        co_await sleepFor(loop_, TickInterval);
    }
    coordination_.stepDown(bootNow());
    co_await storeLink_.unregister();
}

Task<void> Gateway::stop()
{
    // 1. Report not ready, close each connection with its next response, and step down as coordinator.
    // 2. Continue serving until the platform routes no new callers here.
    // 3. Complete the requests in progress, and reject those that might not complete in time.
    // 4. Stop before the platform kills the process.
    const TimePoint startedAt = bootNow();
    log_.write(LogLine("stopping").add("requests", front_.inFlightRequests()), LogImportance::State, startedAt);
    front_.beginStop();
    spawn(loop_, log_, "leave", [this] {
        return unregister();
    });
    co_await sleepFor(loop_, ReadinessPropagationTime);
    const TimePoint endsAt = startedAt + settings_.gracePeriod_ - StopMargin;
    flow_.rejectAfter(endsAt);
    // Also waits for requests that are being read, and until callers have received their last response.
    for (front_.closeIdle(); front_.connectionCount() > 0 && bootNow() < endsAt; front_.closeIdle()) {
        co_await sleepFor(loop_, TickInterval);
    }
    network_.stop();
    loop_.stop();
}

} // namespace Goldcrestwall::Gateway
