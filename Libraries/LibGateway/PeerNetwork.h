// The connections of an instance to the others.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/PeerLink.h>

#include <map>
#include <set>

namespace Goldcrestwall::Gateway {

// Accepts connections of other instances and keeps those that this instance needs.
class PeerNetwork
{
public:
    struct Handlers
    {
        // A message over a connection that the other instance opened.
        std::function<void(const std::shared_ptr<PeerLink> &, PeerMessage)> incoming_;
        std::function<void(const std::shared_ptr<PeerLink> &)> incomingClosed_;
        // A message over a connection that this instance opened.
        std::function<void(const std::shared_ptr<PeerLink> &, PeerMessage)> outgoing_;
        std::function<void(const std::string &address, const std::shared_ptr<PeerLink> &)> opened_;
    };

    PeerNetwork(asio::io_context &loop, HelloMessage self, EventLog &log, Handlers handlers);

    // Listens for other instances. Errors: the address cannot be bound.
    std::error_code listen(const std::string &address);
    void stop();

    // Keeps connections to exactly these addresses from now on; the others are closed.
    void setRequiredAddresses(std::set<std::string> addresses, TimePoint now);
    // Opens what is missing, checks what is silent. To be called a few times a second.
    void maintain(TimePoint now);
    // The open connection to an address whose other end was heard lately; nothing otherwise.
    std::shared_ptr<PeerLink> link(const std::string &address, TimePoint now) const;
    std::vector<std::shared_ptr<PeerLink>> openLinks(TimePoint now) const;
    // Nothing that was heard before counts any more.
    void resetLiveness();
    // Sends a message to all instances of the own failure domain that are connected to this one.
    void announce(const PeerMessage &message);

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
    Task<void> connect(std::string address);

    asio::io_context &loop_;
    HelloMessage self_;
    EventLog &log_;
    Handlers handlers_;
    Listener listener_;
    std::map<std::string, Outgoing> outgoing_;
    std::set<std::shared_ptr<PeerLink>> incoming_;
};

} // namespace Goldcrestwall::Gateway
