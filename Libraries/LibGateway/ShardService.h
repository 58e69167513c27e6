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
                 const StoreLink &storeLink,
                 std::string instance,
                 EventLog &log);

    // Starts all due writes, grants and releases. No grant is sent after `grantsUntil`. `mayMove`: the store can be written.
    void run(TimePoint grantsUntil, bool mayMove, TimePoint now);
    // Ends all calls in progress, so that no grant is sent later than now.
    void cancelCalls();
    // Stops for good: sends no further grants or releases.
    void stop();
    // The standbys that the assignment in the store names or may name.
    std::vector<std::string> standbys() const;

private:
    Task<void> writeAssignment(ShardAssignment assignment);
    // Sends a grant or a release. If this instance may no longer grant, the result is NotSent.
    Task<ExchangeResult> sendShardCall(std::string address, HttpRequest request, ExchangeOptions options);
    // Records what the server's response to a call says about further requests.
    void recordAnnouncement(const ShardHolder &holder, const ExchangeResult &result, TimePoint sentAt, TimePoint now);
    Task<void> sendGrant(GrantCall call);
    // Logs a grant that failed or that gave the server keys. Accepted renewals are not logged.
    void logGrant(const GrantCall &call, ShardCallOutcome outcome, const ExchangeResult &result, const GrantEffect &effect, TimePoint sentAt, TimePoint now);
    Task<void> sendRelease(ReleaseCall call);
    // Records that the assignment that this instance wrote is stored.
    void recordWritten(ShardAssignment assignment, StoreVersion version, TimePoint now);
    // Finds out whether the assignment, whose write is in doubt, is stored.
    Task<void> reload(ShardAssignment written);
    // Starts the granter anew from the assignment in the store, if there is one.
    void create(const std::optional<ShardAssignment> &stored, TimePoint seenAt, TimePoint now);
    // Starts the granter if there is none, and anew if another instance has granted since this one did.
    void adoptAssignment(const CoordinatorEntry &coordinator, TimePoint now);
    void planAssignment(TimePoint now);
    void logGranting(TimePoint now);
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
    const StoreLink &storeLink_;
    std::string instance_;
    EventLog &log_;
    std::optional<ShardGranter> granter_;
    // The coordinator entry as whose owner this instance granted last.
    StoreVersion coordinatorVersion_;
    // Named by an assignment whose write has not been confirmed.
    std::vector<std::string> unconfirmedStandbys_;
    StoreVersion storedVersion_;
    bool isWriting_ = false;
    bool isReloading_ = false;
    bool isStopped_ = false;
    bool isGranting_ = false;
    TimePoint grantsUntil_;
    TimePoint plannedAt_;
    std::set<std::shared_ptr<ExchangeHandle>> calls_;
    // Addresses by server id. Kept after a server's entry is removed, because the server may still hold keys.
    std::map<std::string, std::string> addresses_;
};

} // namespace Goldcrestwall::Gateway
