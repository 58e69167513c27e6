// Which services an instance coordinates.
#pragma once

#include <LibGateway/ShardService.h>

namespace Goldcrestwall::Gateway {

// Takes over services without a coordinator, carries out the duties of those that this instance has, and gives them up.
class CoordinationManager
{
public:
    CoordinationManager(asio::io_context &loop,
                        MemberEntry self,
                        GrantTimings grantTerms,
                        const StoreView &view,
                        Platform::PlatformStore &store,
                        const StoreLink &storeLink,
                        PeerNetwork &network,
                        PlacementService &placement,
                        EventLog &log);

    // Follows the view: begins and ends duties.
    void refresh(TimePoint now);
    // Does what is due; tries to take over services unless the instance is stopping.
    void run(bool isStopping, TimePoint now);
    // Ends all duties for good.
    void stepDown(TimePoint now);

private:
    // Whether this instance may act as the granter although its lease is in doubt.
    bool isConfirmedByPeers(TimePoint now) const;
    void elect(const std::string &service, TimePoint now);
    Task<void> claim(std::string service);
    void checkSuspects(TimePoint now);
    Task<void> checkHealth(std::string service, ServerDescription server, std::string path);

    asio::io_context &loop_;
    MemberEntry self_;
    GrantTimings grantTerms_;
    const StoreView &view_;
    Platform::PlatformStore &store_;
    const StoreLink &storeLink_;
    PeerNetwork &network_;
    PlacementService &placement_;
    EventLog &log_;
    // Answers to orders and to health requests name no request: each has its own connections, so that a second copy of one is never
    // taken for the other.
    HttpClient shardCallClient_;
    HttpClient healthClient_;
    std::map<std::string, std::shared_ptr<ShardService>> shards_;
    // Since when a service has no coordinator.
    std::map<std::string, TimePoint> vacantSince_;
    std::set<std::string> claiming_;
    std::map<std::string, TimePoint> healthCheckedAt_;
    bool hasSteppedDown_ = false;
};

} // namespace Goldcrestwall::Gateway
