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
    // `isFirstStart`: the whole system starts for the first time, so that nobody has granted keys before.
    ShardService(asio::io_context &loop,
                 std::string service,
                 GrantTimings timings,
                 bool isFirstStart,
                 const StoreView &view,
                 Platform::PlatformStore &store,
                 HttpClient &client,
                 PlacementService &placement,
                 AnnouncementRecorder &announcements,
                 const StoreLink &storeLink,
                 std::string instance,
                 EventLog &log);

    // Starts all due writes, grants and releases. No grant is sent after `rightUntil`. `mayMove`: the store can be written.
    void run(TimePoint rightUntil, bool mayMove, TimePoint now);
    // Ends the right to grant and all calls in progress, so that no grant is sent later than now.
    void endRight(TimePoint now);
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
    void cancelCalls();
    // Whether the stored assignment that the granter goes by was written in the store's present era.
    bool isAssignmentOfEra() const;
    // Limits the right to that of the earlier era until an assignment of the present one is stored.
    void updateGrantsUntil(TimePoint now);
    EarlierEras earlierEras() const;
    // Whether the assignment in the store was written by this process and has not been replaced.
    bool isOwnAssignment(const AssignmentEntry *entry) const;
    // Writes the assignment again if a write of an earlier era has replaced it.
    void repairAssignment();
    void logStart(const char *knowledge, TimePoint now);
    // Starts the granter anew from the assignment in the store, if there is one.
    void create(const std::optional<ShardAssignment> &stored, TimePoint seenAt, TimePoint now);
    // After a claim of this instance: starts the granter if there is none, and anew if another instance may have granted since this one did.
    void adoptAssignment(const CoordinatorEntry &coordinator, TimePoint now);
    void takeOver(const AssignmentEntry *entry, TimePoint now);
    // Becomes the first granter of the era, with the holders that it knows or with unknown ones.
    void beginEra(const AssignmentEntry *entry, StoreEra era, Adoption adoption, TimePoint now);
    // Whether this instance has the service's entry, and has adopted the assignment since.
    bool hasAdopted(const CoordinatorEntry *coordinator) const;
    // Whether the granter may go on with what it has granted, by the entry or without one.
    bool mayRenew(const CoordinatorEntry *coordinator) const;
    void sendCalls(TimePoint now);
    void planAssignment(TimePoint now);
    void logGranting(TimePoint now);
    void publishAssignment(TimePoint now);
    std::string addressOf(const std::string &server);

    asio::io_context &loop_;
    std::string service_;
    GrantTimings timings_;
    bool isFirstStart_;
    const StoreView &view_;
    Platform::PlatformStore &store_;
    HttpClient &client_;
    PlacementService &placement_;
    AnnouncementRecorder &announcements_;
    const StoreLink &storeLink_;
    std::string instance_;
    EventLog &log_;
    std::optional<ShardGranter> granter_;
    // The claim by which this instance granted last.
    StoreVersion coordinatorVersion_;
    // This instance is the first granter of the era and still waits for granters of earlier ones.
    bool isFirstOfEra_ = false;
    // Named by an assignment whose write has not been confirmed.
    std::vector<std::string> unconfirmedStandbys_;
    StoreVersion storedVersion_;
    bool isWriting_ = false;
    bool isReloading_ = false;
    bool isStopped_ = false;
    bool isGranting_ = false;
    TimePoint rightUntil_;
    TimePoint grantsUntil_;
    // When the right to grant, by what is stored, ended or will end.
    TimePoint grantedUntil_;
    TimePoint plannedAt_;
    std::set<std::shared_ptr<ExchangeHandle>> calls_;
    // Addresses by server id. Kept after a server's entry is removed, because the server may still hold keys.
    std::map<std::string, std::string> addresses_;
};

} // namespace Goldcrestwall::Gateway
