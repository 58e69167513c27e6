// Propagates changes of the store's content between instances.
#pragma once

#include <LibGateway/ChangePush.h>
#include <LibGateway/PeerNetwork.h>
#include <LibGateway/StoreLink.h>
#include <LibGateway/ViewAsker.h>

namespace Goldcrestwall::Gateway {

// Chooses which instances this one connects to, requests changes from those with a newer view, and announces changes of its own view to
// the other instances of its failure domain.
//
// One instance of each failure domain and every coordinator watch the store. The others receive changes from at least two of these, and
// watch the store themselves when none of them confirms the view. Small changes are pushed, before they are asked for, by two of these.
class ViewRelay
{
public:
    ViewRelay(std::string instance,
              std::string domain,
              StoreView &view,
              StoreLink &storeLink,
              PeerNetwork &network,
              std::shared_ptr<ServerNotices> notices,
              EventLog &log);

    // Updates the set of instances to connect to. `seeds` are addresses at which instances may be running.
    void refresh(const std::vector<std::string> &seeds, TimePoint now);
    // Requests changes from instances with a newer view. To be called a few times a second.
    void follow(TimePoint now);
    // Pushes a change of the view to the instances that want it, and announces it to the other instances of the failure domain, and to all instances that the
    // view is current again.
    void announce(TimePoint now);

    void handlePing(const std::shared_ptr<PeerLink> &link, const PingMessage &message, TimePoint now);
    void handlePong(const std::shared_ptr<PeerLink> &link, const PongMessage &message, TimePoint now);
    void handleRequest(const std::shared_ptr<PeerLink> &link, const ViewRequestMessage &message, TimePoint now);
    // Answers requests for the view whose turn it is. To be called a few times a second.
    void serve(TimePoint now);
    // A connection that a peer opened has ended.
    void removePeer(const std::shared_ptr<PeerLink> &link);
    // Requests for the view that wait for their turn, and answers that have not reached their peers yet.
    std::size_t waitingRequests() const
    {
        return answers_.waitingCount();
    }
    std::size_t answersUnderWay() const
    {
        return answers_.underWayCount();
    }
    // Bytes of encoded answers that are held.
    std::size_t answerBytes() const;
    // Applies a change that a peer has pushed, and passes it on. Returns whether there was anything new.
    bool handleChange(const std::shared_ptr<PeerLink> &link, ViewChangeMessage message, TimePoint now);
    // Applies the changes to the view. Returns whether there were any.
    bool handleUpdate(const std::shared_ptr<PeerLink> &link, ViewUpdateMessage message, TimePoint now);

private:
    // This instance's role in the propagation, derived from the view.
    struct Role
    {
        // The view's change count at which the role was computed.
        std::uint64_t changeCount_ = 0;
        // Whether another instance watches the store for this one.
        bool isFollower_ = false;
        // Peer addresses of the instances that watch the store.
        std::set<std::string> watchers_;
        // The one of the own failure domain; empty if it is this instance.
        std::string ownWatcher_;
    };

    // An answer on its way.
    struct Sending
    {
        std::weak_ptr<const std::string> frame_;
        // The position in the link's bytes at which the answer ends.
        std::uint64_t end_ = 0;
    };

    // Encoded answers to requests by the versions of the requests, 0 for the complete content. Links that are sent the same answer share it, and it is kept
    // only while one of them needs it.
    struct Encodings
    {
        std::uint64_t changeCount_ = 0;
        StoreVersion at_;
        std::map<StoreVersion, std::weak_ptr<const std::string>> frames_;
    };

    const Role &role();
    PeerFrame encodeAnswer(StoreVersion version);
    void ask(TimePoint now);
    // Sends the change to all instances that want changes except the one it came from.
    void push(const ViewChange &change, const std::shared_ptr<PeerLink> &from);
    // Tells the instances that push changes to this one what they seem to lack.
    void pushToSources(TimePoint now);
    std::set<std::string> watcherAddresses(const std::map<std::string, std::string> &watchers) const;
    std::set<std::string> allAddresses(const std::vector<std::string> &seeds) const;
    // Lets the store be tried at once when the first peer says that its view is current again.
    void noteCurrentPeers(TimePoint now);
    PongMessage makePong(std::int64_t pingSentAt, TimePoint now) const;

    std::string instance_;
    std::string domain_;
    StoreView &view_;
    StoreLink &storeLink_;
    PeerNetwork &network_;
    std::shared_ptr<ServerNotices> notices_;
    EventLog &log_;
    std::optional<Role> role_;
    ViewAsker asker_;
    ChangePush changes_;
    // For each instance that pushes changes to this one, the version up to which it was told of changes that it seemed to lack.
    std::map<std::string, StoreVersion> toldVersions_;
    ViewAnswerQueue<std::shared_ptr<PeerLink>> answers_;
    std::map<std::shared_ptr<PeerLink>, Sending> sending_;
    Encodings encodings_;
    // Whether this instance did not have a value that a peer had left out.
    bool needsCompleteContent_ = false;
    // Whether a peer's view was current when this was last looked at.
    bool isPeerCurrent_ = false;
    // Whether the own view was current when `follow` was called last.
    bool wasCurrent_ = false;
};

} // namespace Goldcrestwall::Gateway
