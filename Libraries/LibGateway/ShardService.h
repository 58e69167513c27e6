// Executes the decisions of a sharded service's granter.
#pragma once

#include <LibGateway/AnnouncementRecorder.h>
#include <LibGateway/PlacementService.h>
#include <LibGateway/StoreLink.h>

namespace Goldcrestwall::Gateway {

// Writes assignments to the store and sends grants and releases to the servers of one service while this instance is its granter.
class ShardService : public std::enable_shared_from_this<ShardService>
{
public:
    ShardService(asio::io_context &loop,
                 std::string service,
                 GrantTimings timings,
                 const StoreView &view,
                 Platform::PlatformStore &store,
                 HttpClient &client,
                 PlacementService &placement,
                 AnnouncementRecorder &announcements,
                 EventLog &log);

    // Starts all due writes, grants and releases. `mayGrant`: this instance is certainly the granter; `mayMove`: the store can be written.
    void run(bool mayGrant, bool mayMove, TimePoint now);
    // Stops for good: sends no further grants or releases.
    void stop();

private:
    Task<void> writeAssignment(ShardAssignment assignment);
    // Sends a grant or a release. If this instance may no longer grant, the result is NotSent.
    Task<ExchangeResult> sendShardCall(std::string address, HttpRequest request, Duration timeout, Duration maxIdle);
    // Records what the server's response to a call says about further requests.
    void recordAnnouncement(const ShardHolder &holder, const ExchangeResult &result, TimePoint sentAt, TimePoint now);
    Task<void> sendGrant(GrantCall call);
    Task<void> sendRelease(ReleaseCall call);
    Task<void> reload();
    void create(TimePoint now);
    void publishAssignment(TimePoint now);
    std::string addressOf(const std::string &server);

    asio::io_context &loop_;
    std::string service_;
    GrantTimings timings_;
    const StoreView &view_;
    Platform::PlatformStore &store_;
    HttpClient &client_;
    PlacementService &placement_;
    AnnouncementRecorder &announcements_;
    EventLog &log_;
    std::optional<ShardGranter> granter_;
    Platform::Revision storedRevision_ = 0;
    bool isWriting_ = false;
    bool isReloading_ = false;
    bool isStopped_ = false;
    bool mayGrant_ = false;
    TimePoint plannedAt_;
    // Addresses by server id. Kept after a server's entry is removed, because the server may still hold keys.
    std::map<std::string, std::string> addresses_;
};

} // namespace Goldcrestwall::Gateway
