// The connections between an instance and its peers.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/LinkDelay.h>
#include <LibGateway/PeerLink.h>

#include <map>
#include <set>

namespace Goldcrestwall::Gateway {

// Bounds on what all connections to other instances hold together.
struct PeerLimits
{
    // Connections that peers have opened; twice the largest number of instances, since each may have one that ends and one that begins.
    std::size_t incomingConnections_ = 2500;
    // Received bytes that are not a complete message yet.
    std::size_t incomingBytes_ = 8U << 20U;
    // Bytes that wait to be sent, without answers for the view, which `ViewRelay` bounds.
    std::size_t outgoingBytes_ = 8U << 20U;

    auto operator<=>(const PeerLimits &) const = default;
};

// Accepts connections from other instances and maintains the outgoing connections that this instance requires.
class PeerNetwork
{
public:
    struct Handlers
    {
        // A message was received on a connection that the peer opened.
        std::function<void(const std::shared_ptr<PeerLink> &, PeerMessage)> incoming_;
        std::function<void(const std::shared_ptr<PeerLink> &)> incomingClosed_;
        // A message was received on a connection that this instance opened.
        std::function<void(const std::shared_ptr<PeerLink> &, PeerMessage)> outgoing_;
        std::function<void(const std::string &address, const std::shared_ptr<PeerLink> &)> opened_;
    };

    PeerNetwork(asio::io_context &loop, HelloMessage self, EventLog &log, Handlers handlers, PeerLimits limits = {});

    // Listens for other instances. Errors: the address cannot be bound.
    std::error_code listen(const std::string &address);
    void stop();

    // Sets the addresses to be connected to. Outgoing connections to other addresses are closed.
    void setRequiredAddresses(std::set<std::string> addresses, TimePoint now);
    // Sets the version of the own view, which pings state.
    void setVersion(StoreVersion version)
    {
        version_ = version;
    }
    // Asks the instances at these addresses, as far as connected, to push changes of their views, and no others.
    void setChangeSources(std::set<std::string> addresses, TimePoint now);
    const std::set<std::string> &changeSources() const
    {
        return changeSources_;
    }
    // Connections whose peers want changes to be pushed; those of the own failure domain first.
    std::vector<std::shared_ptr<PeerLink>> changeReceivers() const;
    // Opens missing connections, sends pings and closes unresponsive connections. To be called a few times a second.
    void maintain(TimePoint now);
    // The open connection to an address, or null if there is none or its peer has not responded lately.
    std::shared_ptr<PeerLink> link(const std::string &address, TimePoint now) const;
    std::vector<std::shared_ptr<PeerLink>> openLinks(TimePoint now) const;
    // Treats all outgoing connections as unresponsive until their next message.
    void resetLiveness();
    // All connections, also those that a peer has opened.
    std::vector<std::shared_ptr<PeerLink>> allLinks() const;
    // Sends a message to all instances of the own failure domain that have connected to this one.
    void announce(const PeerMessage &message);
    // Sends the message on all connections that other instances opened.
    void announceToAll(const PeerMessage &message);
    // Connections that this instance ended because of its bounds, by reason.
    const std::map<PeerCloseReason, std::uint64_t> &closedLinks() const
    {
        return closedLinks_;
    }

private:
    struct Outgoing
    {
        std::shared_ptr<PeerLink> link_;
        bool isConnecting_ = false;
        bool hasReceived_ = false;
        TimePoint nextTryAt_;
        TimePoint pingedAt_;
    };

    void accept(Tcp::socket socket);
    void recordClosed(const std::shared_ptr<PeerLink> &link);
    // Makes room for one more connection; returns whether there is any.
    bool makeRoom();
    // Closes connections until all of them together hold no more than they may.
    void enforceLimits(TimePoint now);
    Task<void> connect(std::string address);
    void ping(const std::string &address, Outgoing &outgoing, TimePoint now) const;

    asio::io_context &loop_;
    HelloMessage self_;
    StoreVersion version_;
    EventLog &log_;
    Handlers handlers_;
    PeerLimits limits_;
    Listener listener_;
    std::map<std::string, Outgoing> outgoing_;
    std::set<std::string> changeSources_;
    std::set<std::shared_ptr<PeerLink>> incoming_;
    std::map<PeerCloseReason, std::uint64_t> closedLinks_;
};

} // namespace Goldcrestwall::Gateway
