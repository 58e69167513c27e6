// A running router instance on the platform.
#pragma once

#include <LibGateway/AnnouncementRecorder.h>
#include <LibGateway/CoordinationManager.h>
#include <LibGateway/FrontServer.h>
#include <LibGateway/MemoryUse.h>
#include <LibGateway/StatusServer.h>
#include <LibGateway/ViewRelay.h>
#include <LibGateway/ViewReport.h>

#include <boost/asio/signal_set.hpp>

namespace Goldcrestwall::Gateway {

// Options from the command line.
struct GatewayOptions
{
    std::string settingsPath_;
    // TCP port of the metrics server, at the instance's own address.
    std::uint16_t metricsPort_ = 9464;

    auto operator<=>(const GatewayOptions &) const = default;
};

// Owns and connects all components of an instance. Everything runs on one event loop, and decisions receive the current time from here.
class Gateway
{
public:
    // Errors: InvalidSetting when an address cannot be bound.
    static Result<std::unique_ptr<Gateway>> create(GatewayOptions options, Platform::PlatformSettings settings);

    // Runs until a stop is requested and the requests in progress have completed.
    void run();

private:
    Gateway(GatewayOptions options, Platform::PlatformSettings settings);

    std::error_code start();
    PeerNetwork::Handlers makePeerHandlers();
    void handleIncoming(const std::shared_ptr<PeerLink> &link, PeerMessage message);
    void handleOutgoing(const std::shared_ptr<PeerLink> &link, PeerMessage message);
    void handleChange(const std::shared_ptr<PeerLink> &link, ViewChangeMessage message, TimePoint now);
    HttpResponse handleStatusRequest(const HttpRequest &request);
    bool isReady(TimePoint now) const;

    void viewChanged();
    // Logs that an entry of the store cannot be used.
    void reportEntry(const std::string &key, const std::string &reason, TimePoint now);
    // Logs that the view has gone over to a higher era of the store.
    void reportEra(TimePoint now);
    // Observes how old the view is that a change is being applied to, and returns it.
    std::optional<Duration> observeChangeAge(const char *change, TimePoint now);
    void reportServerChange(const ServerChange &change, TimePoint now);
    void reportLimitChange(const LimitChange &change, TimePoint now);
    // Runs all handlers until the loop is stopped.
    void runLoop();
    Task<void> tick();
    // Reads the configuration from the store when it has been late for too long.
    void checkConfigurationLag(TimePoint now);
    Task<void> fetchConfiguration();
    void reportLoopDelay(TimePoint now);
    // Measures the delays of a ping and its answer.
    void recordPeerDelay(PeerLink &link, const PongMessage &pong, TimePoint now);
    void checkForSuspension(TimePoint now);
    MemoryUse memoryUse() const;
    // Logs the memory by holder when it has grown.
    void checkMemory(TimePoint now);
    void updateMetrics();

    Task<void> awaitSignals();
    void reloadSettings(const char *cause);
    void checkSettingsFile(TimePoint now);
    // Steps down as coordinator of all services and ends the lease.
    Task<void> unregister();
    Task<void> stop();

    GatewayOptions options_;
    Platform::PlatformSettings settings_;
    MemberEntry self_;
    // Outlives all that hold memory; declared before the loop, whose handlers do.
    MemoryAccount memory_;
    asio::io_context loop_;
    EventLog log_;
    MetricRegistry metrics_;
    std::shared_ptr<ServerNotices> notices_;
    AnnouncementRecorder announcements_;
    EntryProblemLog entryProblems_;
    std::optional<EraRead> reportedEraRead_;
    StoreView view_;
    Platform::PlatformStore store_;
    StoreLink storeLink_;
    PeerNetwork network_;
    ViewRelay relay_;
    PlacementService placement_;
    HttpClient client_;
    CoordinationManager coordination_;
    RequestFlow flow_;
    LoopDelayMeter loopDelay_;
    LinkDelay linkDelay_;
    TimePoint linkDelayReportedAt_;
    FrontServer front_;
    StatusServer readyServer_;
    StatusServer metricsServer_;
    asio::signal_set signals_;
    bool isStopping_ = false;
    bool hasBeenReady_ = false;
    TimePoint tickedAt_;
    MemoryLog memoryLog_;
    TimePoint memoryCheckedAt_;
    TimePoint settingsCheckedAt_;
    std::int64_t settingsChangedAt_ = 0;
    std::uint64_t configurationVersion_ = 0;
    bool isFetchingConfiguration_ = false;
    TimePoint configurationFetchedAt_;
};

} // namespace Goldcrestwall::Gateway
