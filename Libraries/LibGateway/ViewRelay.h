// Passes changes of the store's content between instances.
#pragma once

#include <LibGateway/PeerNetwork.h>
#include <LibGateway/StoreLink.h>

namespace Goldcrestwall::Gateway {

// Chooses which instances this one is connected to, asks those that know more than it for changes, and tells the others of its
// failure domain when its own view has changed.
//
// One instance of each failure domain and every coordinator watches the store. The others hear of changes from these, from two at
// least, and watch the store themselves when none of them confirms the view.
class ViewRelay
{
public:
    ViewRelay(std::string instance, std::string domain, StoreView &view, StoreLink &storeLink, PeerNetwork &network, EventLog &log);

    // Connects to the instances that are needed now. `seeds` are addresses of instances that may be there.
    void refresh(const std::vector<std::string> &seeds, TimePoint now);
    // Asks for what others know and this instance does not. To be called a few times a second.
    void follow(TimePoint now);
    // Tells the other instances of the failure domain that the view has changed.
    void announce(TimePoint now);

    void handlePing(const std::shared_ptr<PeerLink> &link, const PingMessage &message, TimePoint now);
    void handlePong(const std::shared_ptr<PeerLink> &link, TimePoint now);
    void handleRequest(const std::shared_ptr<PeerLink> &link, const ViewRequestMessage &message);
    // Takes over changes. Returns whether there were any.
    bool handleUpdate(const std::shared_ptr<PeerLink> &link, ViewUpdateMessage message, TimePoint now);

private:
    // What the instance is among the others, by the view.
    struct Role
    {
        // The view's count of changes that it was worked out from.
        std::uint64_t changeCount_ = 0;
        // Whether another instance watches the store for this one.
        bool isFollower_ = false;
        // Where the instances listen that watch the store.
        std::set<std::string> watchers_;
    };

    const Role &role();
    std::set<std::string> watcherAddresses(const std::map<std::string, std::string> &watchers) const;
    std::set<std::string> allAddresses(const std::vector<std::string> &seeds) const;
    PongMessage makePong(std::int64_t pingSentAt, TimePoint now) const;

    std::string instance_;
    std::string domain_;
    StoreView &view_;
    StoreLink &storeLink_;
    PeerNetwork &network_;
    EventLog &log_;
    std::optional<Role> role_;
    TimePoint requestedAt_;
    // When another failure domain was first seen to know more.
    TimePoint behindSince_;
};

} // namespace Goldcrestwall::Gateway
