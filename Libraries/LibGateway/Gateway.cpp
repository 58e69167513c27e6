#include "Gateway.h"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <random>

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration TickInterval = 50ms;
// A longer gap between two ticks means that the process stood still.
constexpr Duration FreezeGap = 600ms;
// How long each instance that ranks behind waits longer before it tries to become a coordinator.
constexpr Duration RankDelay = 250ms;
constexpr Duration HealthInterval = 500ms;
constexpr Duration HealthTimeout = 400ms;
constexpr Duration ViewRequestInterval = 250ms;
constexpr Duration SettingsInterval = 1s;
// The platform stops sending new callers within this time after the instance has said that it is not ready.
constexpr Duration RotationTime = 3s;
// What is left of the grace period when the process ends in any case.
constexpr Duration StopMargin = 300ms;

std::string makeIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    return std::to_string((high << 32U) | device());
}

std::int64_t changeTimeOf(const std::string &path)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) != 0) {
        return 0;
    }
    return status.st_mtim.tv_sec * 1000000000LL + status.st_mtim.tv_nsec;
}

HttpResponse makeStatus(unsigned status, const std::string &body)
{
    HttpResponse response;
    response.result(status);
    response.body() = body;
    return response;
}

} // namespace

Result<std::unique_ptr<Gateway>> Gateway::create(GatewayOptions options, Platform::InstanceSettings settings)
{
    std::unique_ptr<Gateway> gateway(new Gateway(std::move(options), std::move(settings)));
    if (const auto error = gateway->start()) {
        return error;
    }
    return gateway;
}

Gateway::Gateway(GatewayOptions options, Platform::InstanceSettings settings)
    : options_(std::move(options))
    , settings_(std::move(settings))
    , self_{settings_.name_, makeIncarnation(), settings_.peerAddress_}
    , loop_(1)
    , log_(settings_.name_)
    , view_([this](const std::string &key, const std::string &reason) {
        log_.write(LogLine("entry-unusable").add("key", key).add("reason", reason), LogImportance::Kept, bootNow());
    })
    , store_(loop_, settings_.storeAddress_)
    , storeLink_(loop_,
                 store_,
                 view_,
                 self_,
                 log_,
                 {[this] {
                      viewChanged();
                  },
                  [this] {
                      refreshDuties(bootNow());
                  }})
    , network_(loop_, HelloMessage{self_.name_, self_.incarnation_, settings_.domain_}, log_, makePeerHandlers())
    , placement_(loop_, self_.name_, settings_.domain_, view_, network_, {settings_.retryRatio_, settings_.retryReserve_, settings_.retryWindow_}, log_)
    , client_(loop_)
    , orderClient_(loop_)
    , flow_(loop_, view_, storeLink_, placement_, client_, log_, metrics_)
    , front_(loop_, view_, flow_, log_, metrics_)
    , ready_(loop_,
             [this](const HttpRequest &request) {
                 return answerStatus(request);
             })
    , metricsServer_(loop_,
                     [this](const HttpRequest &) {
                         updateMetrics();
                         return makeStatus(200, metrics_.expose());
                     })
    , signals_(loop_, SIGTERM, SIGINT, SIGHUP)
{
}

std::error_code Gateway::start()
{
    if (const auto error = front_.listen(settings_.callerAddress_)) {
        return error;
    }
    if (const auto error = ready_.listen(settings_.readyAddress_)) {
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
    log_.write(LogLine("started").add("incarnation", self_.incarnation_).add("domain", settings_.domain_), LogImportance::Kept, now);
    settingsChangedAt_ = changeTimeOf(options_.settingsPath_);
    tickedAt_ = now;
    storeLink_.start();
    asio::co_spawn(loop_, tick(), asio::detached);
    asio::co_spawn(loop_, awaitSignals(), asio::detached);
    loop_.run();
    log_.write(LogLine("stopped"), LogImportance::Kept, bootNow());
    log_.flush();
}

PeerNetwork::Handlers Gateway::makePeerHandlers()
{
    PeerNetwork::Handlers handlers;
    handlers.incoming_ = [this](const std::shared_ptr<PeerLink> &link, PeerMessage message) {
        handleIncoming(link, std::move(message));
    };
    handlers.incomingClosed_ = [this](const std::shared_ptr<PeerLink> &link) {
        placement_.forgetPeer(link);
    };
    handlers.outgoing_ = [this](const std::shared_ptr<PeerLink> &link, PeerMessage message) {
        handleOutgoing(link, std::move(message));
    };
    handlers.opened_ = [this](const std::string &address, const std::shared_ptr<PeerLink> &link) {
        placement_.reportHeld(address, link);
    };
    handlers.outgoingClosed_ = [](const std::string &) {
        // Requests that wait for the coordinator notice by themselves.
    };
    handlers.revision_ = [this] {
        return view_.at();
    };
    return handlers;
}

void Gateway::handleIncoming(const std::shared_ptr<PeerLink> &link, PeerMessage message)
{
    const TimePoint now = bootNow();
    if (const auto *hello = std::get_if<HelloMessage>(&message)) {
        link->setInstance(hello->instance_, hello->domain_);
    } else if (const auto *ask = std::get_if<AskMessage>(&message)) {
        placement_.handleAsk(link, *ask, now);
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message)) {
        placement_.handleCancel(link, *cancel);
    } else if (const auto *finish = std::get_if<FinishMessage>(&message)) {
        placement_.handleFinish(link, *finish, now);
    } else if (const auto *held = std::get_if<HeldMessage>(&message)) {
        placement_.handleHeld(link, *held, now);
    } else if (std::holds_alternative<PingMessage>(message)) {
        link->send(PongMessage{view_.at(), storeLink_.isCurrent(now)});
    } else if (const auto *request = std::get_if<ViewRequestMessage>(&message)) {
        if (view_.at() > request->revision_) {
            link->send(toMessage(view_.changesSince(request->revision_)));
        }
    }
}

void Gateway::handleOutgoing(const std::shared_ptr<PeerLink> &link, PeerMessage message)
{
    if (const auto *queued = std::get_if<QueuedMessage>(&message)) {
        placement_.handleQueued(*queued);
    } else if (const auto *declined = std::get_if<DeclinedMessage>(&message)) {
        placement_.handleDeclined(*declined);
    } else if (const auto *placed = std::get_if<PlacedMessage>(&message)) {
        placement_.handlePlaced(link, *placed);
    } else if (const auto *rejected = std::get_if<RejectedMessage>(&message)) {
        placement_.handleRejected(*rejected);
    } else if (auto *update = std::get_if<ViewUpdateMessage>(&message)) {
        const TimePoint now = bootNow();
        log_.write(LogLine("view-from-peer").add("peer", link->address()).add("revision", update->at_).add("known", view_.at()), LogImportance::Kept, now);
        view_.apply(toViewUpdate(std::move(*update)), now);
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

HttpResponse Gateway::answerStatus(const HttpRequest &request)
{
    if (request.target() != Platform::ReadyPath) {
        return makeStatus(404, {});
    }
    const bool isReadyNow = isReady(bootNow());
    if (isReadyNow && !hasBeenReady_) {
        log_.write(LogLine("ready").add("configuration", configurationVersion_).add("storeRevision", view_.at()), LogImportance::Kept, bootNow());
    }
    hasBeenReady_ = hasBeenReady_ || isReadyNow;
    return makeStatus(isReadyNow ? 200 : 503, {});
}

void Gateway::viewChanged()
{
    const TimePoint now = bootNow();
    const auto configuration = view_.configuration();
    if (configuration && configuration->version_ != configurationVersion_) {
        configurationVersion_ = configuration->version_;
        log_.write(LogLine("configuration-in-force")
                       .add("version", configuration->version_)
                       .add("routes", configuration->routes_.size())
                       .add("storeRevision", view_.at()),
                   LogImportance::Kept,
                   now);
    }
    refreshDuties(now);
    placement_.refresh(now);
    refreshPeers(now);
    runDuties(now);
}

void Gateway::refreshPeers(TimePoint now)
{
    std::set<std::string> addresses;
    const auto configuration = view_.configuration();
    if (configuration && storeLink_.isCurrent(now)) {
        for (const auto &service : configuration->services_) {
            const auto *leader = view_.leader(service.name_);
            if (leader != nullptr && leader->member_.name_ != self_.name_) {
                addresses.insert(leader->member_.peerAddress_);
            }
        }
    } else {
        // Without the store every instance that can be reached may have newer content.
        for (const auto &[name, member] : view_.members()) {
            if (name != self_.name_) {
                addresses.insert(member.peerAddress_);
            }
        }
        addresses.insert(settings_.seeds_.begin(), settings_.seeds_.end());
        addresses.erase(settings_.peerAddress_);
    }
    network_.setNeeded(std::move(addresses), now);
}

void Gateway::refreshDuties(TimePoint now)
{
    std::set<std::string> coordinated;
    const auto configuration = view_.configuration();
    if (configuration && !hasLeft_) {
        for (const auto &service : configuration->services_) {
            // A coordinator whose entry lapsed goes on until another one is known: its grants bear lower tokens than a successor's,
            // and without it nobody would renew them.
            const auto *leader = view_.leader(service.name_);
            const bool isVacant = leader == nullptr && placement_.isCoordinating(service.name_);
            if (isVacant || (leader != nullptr && leader->member_ == self_)) {
                coordinated.insert(service.name_);
            }
        }
    }
    for (const auto &service : coordinated) {
        if (!placement_.isCoordinating(service)) {
            log_.write(LogLine("coordinating").add("service", service).add("storeRevision", view_.at()), LogImportance::Kept, now);
        }
    }
    std::erase_if(shards_, [&](const auto &entry) {
        if (coordinated.contains(entry.first)) {
            return false;
        }
        log_.write(LogLine("coordination-ended").add("service", entry.first).add("storeRevision", view_.at()), LogImportance::Kept, now);
        entry.second->stop();
        return true;
    });
    for (const auto &service : coordinated) {
        const auto *description = configuration->service(service);
        if (description->isSharded_ && !shards_.contains(service)) {
            shards_[service] = std::make_shared<ShardService>(loop_, service, view_, store_, orderClient_, placement_, log_);
        }
    }
    placement_.setCoordinated(std::move(coordinated), now);
}

bool Gateway::isConfirmedByPeers(TimePoint now) const
{
    // Instances that reach the store would have passed on who took over. If none reaches it, no one can have taken over.
    const std::size_t others = view_.members().size() > 0 ? view_.members().size() - 1 : 0;
    return network_.openLinks(now).size() * 2 >= others;
}

void Gateway::runDuties(TimePoint now)
{
    const bool isValid = storeLink_.isLeaseValid(now);
    const bool isCurrent = storeLink_.isCurrent(now);
    for (const auto &[service, shards] : shards_) {
        const bool isVacant = view_.leader(service) == nullptr;
        const bool mayGrant = isCurrent ? isValid || isVacant : isValid || isConfirmedByPeers(now);
        shards->run(mayGrant, isValid && isCurrent && !isVacant, now);
    }
    const auto configuration = view_.configuration();
    if (!configuration || isStopping_ || !isValid || !storeLink_.isCurrent(now)) {
        return;
    }
    for (const auto &service : configuration->services_) {
        elect(service.name_, now);
    }
}

void Gateway::elect(const std::string &service, TimePoint now)
{
    if (view_.leader(service) != nullptr) {
        vacantSince_.erase(service);
        return;
    }
    const auto [vacant, isNew] = vacantSince_.try_emplace(service, now);
    std::vector<std::string> names;
    for (const auto &[name, member] : view_.members()) {
        names.push_back(name);
    }
    // The coordinator so far knows all that a successor would have to learn.
    const auto rank = placement_.isCoordinating(service) ? 0 : 1 + leaderRank(service, self_.name_, names);
    if (claiming_.contains(service) || now - vacant->second < RankDelay * static_cast<Duration::rep>(rank)) {
        return;
    }
    claiming_.insert(service);
    asio::co_spawn(loop_, claim(service), asio::detached);
}

Task<void> Gateway::claim(std::string service)
{
    Platform::StoreWrite write;
    write.conditions_.push_back({leaderKey(service), 0});
    write.puts_.push_back({leaderKey(service), encodeMember(self_), 0, storeLink_.lease()});
    const auto commit = co_await store_.commit(std::move(write));
    log_.write(
        LogLine("coordination-claimed").add("service", service).add("outcome", Platform::storeOutcomeName(commit.outcome_)), LogImportance::Kept, bootNow());
    // The watch tells who has it now.
    co_await sleepFor(loop_, RankDelay);
    claiming_.erase(service);
}

void Gateway::checkForFreeze(TimePoint now)
{
    const Duration gap = now - tickedAt_;
    tickedAt_ = now;
    if (gap > FreezeGap) {
        log_.write(LogLine("process-stood-still").addAge("gapMs", gap), LogImportance::Kept, now);
        storeLink_.distrust();
        network_.forgetHearing();
    }
}

Task<void> Gateway::tick()
{
    for (;;) {
        co_await sleepFor(loop_, TickInterval);
        const TimePoint now = bootNow();
        checkForFreeze(now);
        if (view_.dropLapsed(now)) {
            viewChanged();
        }
        refreshPeers(now);
        followPeers(now);
        runDuties(now);
        checkSuspects(now);
        checkSettingsFile(now);
        client_.closeIdle(now);
        log_.flush();
    }
}

void Gateway::followPeers(TimePoint now)
{
    const auto links = network_.openLinks(now);
    for (const auto &link : links) {
        storeLink_.expectRevision(link->revision(), now);
    }
    if (now - viewRequestedAt_ < ViewRequestInterval) {
        return;
    }
    for (const auto &link : links) {
        if (link->revision() > view_.at() || !storeLink_.isCurrent(now)) {
            viewRequestedAt_ = now;
            link->send(ViewRequestMessage{view_.at()});
        }
    }
}

void Gateway::checkSuspects(TimePoint now)
{
    const auto configuration = view_.configuration();
    if (!configuration) {
        return;
    }
    for (const auto &service : configuration->services_) {
        auto *pool = placement_.pool(service.name_);
        if (pool == nullptr || !placement_.isCoordinating(service.name_)) {
            continue;
        }
        for (const auto &id : pool->suspects(now)) {
            const auto *server = view_.server(id);
            auto &checkedAt = healthCheckedAt_[id];
            if (server != nullptr && now - checkedAt >= HealthInterval) {
                checkedAt = now;
                asio::co_spawn(loop_, checkHealth(service.name_, id, server->address_, service.healthPath_), asio::detached);
            }
        }
    }
}

Task<void> Gateway::checkHealth(std::string service, std::string server, std::string address, std::string path)
{
    ExchangeOptions options;
    options.timeout_ = HealthTimeout;
    const auto result = co_await orderClient_.exchange(address, Platform::makeHealthRequest(address, path), options, std::make_shared<ExchangeHandle>());
    const TimePoint now = bootNow();
    auto *pool = placement_.pool(service);
    if (pool == nullptr) {
        co_return;
    }
    Platform::HealthReport report;
    if (result.outcome_ == ExchangeOutcome::Answered) {
        report = Platform::readHealth(result.response_);
    }
    const bool isHealthy = report.isHealthy_ && report.serverId_ == server;
    log_.write(LogLine("health-checked")
                   .add("server", server)
                   .add("outcome", exchangeOutcomeName(result.outcome_))
                   .add("healthy", isHealthy)
                   .addAge("warmupLeftMs", report.warmupLeft_),
               LogImportance::Kept,
               now);
    if (isHealthy) {
        pool->noteHealth(server, report.warmupLeft_, report.load_, now);
        placement_.scheduleDecision(service);
    } else if (result.outcome_ != ExchangeOutcome::Answered) {
        pool->noteHealthFailure(server, now);
    }
}

void Gateway::updateMetrics()
{
    metrics_.setGauge("goldcrestwall_waiting_requests", {}, static_cast<double>(placement_.waitingCount()));
    metrics_.setGauge("goldcrestwall_caller_connections", {}, static_cast<double>(front_.connectionCount()));
    metrics_.setGauge("goldcrestwall_store_calls", {}, static_cast<double>(store_.counters().calls_));
    metrics_.setGauge("goldcrestwall_store_failures", {}, static_cast<double>(store_.counters().failures_));
    metrics_.setGauge("goldcrestwall_server_connections_opened", {}, static_cast<double>(client_.connectionCount()));
    metrics_.setGauge("goldcrestwall_log_lines_left_out", {}, static_cast<double>(log_.droppedCount()));
    metrics_.setGauge("goldcrestwall_log_bytes", {}, static_cast<double>(log_.writtenBytes()));
    metrics_.setGauge("goldcrestwall_store_revision", {}, static_cast<double>(view_.at()));
    metrics_.setGauge("goldcrestwall_configuration_version", {}, static_cast<double>(configurationVersion_));
}

Task<void> Gateway::awaitSignals()
{
    for (;;) {
        ErrorCode error;
        const int signal = co_await signals_.async_wait(failingInto(error));
        if (error) {
            co_return;
        }
        if (signal == SIGHUP) {
            reloadSettings("signal");
        } else if (!isStopping_) {
            isStopping_ = true;
            asio::co_spawn(loop_, stop(), asio::detached);
        }
    }
}

void Gateway::checkSettingsFile(TimePoint now)
{
    if (now - settingsCheckedAt_ < SettingsInterval) {
        return;
    }
    settingsCheckedAt_ = now;
    if (changeTimeOf(options_.settingsPath_) != settingsChangedAt_) {
        reloadSettings("file-changed");
    }
}

void Gateway::reloadSettings(const char *cause)
{
    const TimePoint now = bootNow();
    settingsChangedAt_ = changeTimeOf(options_.settingsPath_);
    const auto reading = Platform::readSettingsFile(options_.settingsPath_);
    for (const auto &problem : reading.problems_) {
        log_.write(LogLine("settings-refused").add("setting", problem.name_).add("reason", problem.reason_), LogImportance::Kept, now);
    }
    if (!reading.problems_.empty()) {
        return;
    }
    const bool isChanged = reading.settings_ != settings_;
    const bool needsRestart = reading.settings_.callerAddress_ != settings_.callerAddress_ || reading.settings_.peerAddress_ != settings_.peerAddress_;
    log_.write(LogLine("settings-reloaded").add("cause", cause).add("changed", isChanged).add("needsRestart", needsRestart), LogImportance::Kept, now);
    settings_ = reading.settings_;
    store_.setAddress(settings_.storeAddress_);
    refreshPeers(now);
}

Task<void> Gateway::leave()
{
    // While the store is away nobody else can take over the duties of this instance: it keeps them to its end.
    while (!storeLink_.isCurrent(bootNow())) {
        co_await sleepFor(loop_, TickInterval);
    }
    hasLeft_ = true;
    refreshDuties(bootNow());
    co_await storeLink_.leave();
}

Task<void> Gateway::stop()
{
    // 1. Say that the instance is not ready, end connections with their next answer, give up all duties.
    // 2. Go on serving until the platform has noticed and what is in progress has ended.
    // 3. End before the platform ends the process.
    const TimePoint startedAt = bootNow();
    log_.write(LogLine("stopping").add("requests", front_.requestsInProgress()), LogImportance::Kept, startedAt);
    front_.beginStop();
    asio::co_spawn(loop_, leave(), asio::detached);
    co_await sleepFor(loop_, RotationTime);
    front_.closeIdle();
    const TimePoint endsAt = startedAt + settings_.gracePeriod_ - StopMargin;
    while (front_.requestsInProgress() > 0 && bootNow() < endsAt) {
        co_await sleepFor(loop_, TickInterval);
    }
    network_.stop();
    loop_.stop();
}

} // namespace Goldcrestwall::Gateway
