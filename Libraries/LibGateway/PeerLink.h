// A connection between two instances.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/PeerMessages.h>

#include <LibHttp/LibHttp.h>

#include <functional>
#include <memory>

namespace Goldcrestwall::Gateway {

// Sends and receives messages over one TCP connection. Messages of one turn of the loop leave in one write.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    struct Handlers
    {
        std::function<void(const std::shared_ptr<PeerLink> &, PeerMessage)> message_;
        std::function<void(const std::shared_ptr<PeerLink> &)> closed_;
    };

    // The log outlives the connection.
    PeerLink(asio::io_context &loop, Tcp::socket socket, Handlers handlers, EventLog &log);

    // Begins to receive.
    void start();
    void send(const PeerMessage &message);
    void close();
    bool isOpen() const
    {
        return isOpen_;
    }
    // When the last message arrived.
    TimePoint lastReceivedAt() const
    {
        return lastReceivedAt_;
    }
    // The instance at the other end; empty until it has said who it is.
    const std::string &instance() const
    {
        return instance_;
    }
    void setInstance(std::string instance, std::string domain)
    {
        instance_ = std::move(instance);
        domain_ = std::move(domain);
    }
    // Its failure domain.
    const std::string &domain() const
    {
        return domain_;
    }
    // The address that this instance connected to; empty for connections that the other one opened.
    const std::string &address() const
    {
        return address_;
    }
    void setAddress(std::string address)
    {
        address_ = std::move(address);
    }
    // Whether the other end said last that its view of the store is current.
    bool isViewCurrent() const
    {
        return isViewCurrent_;
    }
    // The revision that it knew then.
    Platform::Revision revision() const
    {
        return revision_;
    }
    // Until when its view surely held everything: when the store confirmed it last, by this instance's clock.
    TimePoint confirmedAt() const
    {
        return confirmedAt_;
    }

private:
    Task<void> receive();
    Task<void> transmit();
    void recordPong(const PongMessage &pong);
    // Handles all whole messages; returns whether the connection may go on.
    bool processFrames();
    // The same, also if handling one fails unexpectedly.
    bool tryProcessFrames();

    asio::io_context &loop_;
    EventLog &log_;
    Tcp::socket socket_;
    Handlers handlers_;
    std::string outgoing_;
    std::string incoming_;
    std::string instance_;
    std::string domain_;
    std::string address_;
    TimePoint lastReceivedAt_;
    bool isOpen_ = true;
    bool isTransmitting_ = false;
    bool isViewCurrent_ = false;
    Platform::Revision revision_ = 0;
    TimePoint confirmedAt_;
};

} // namespace Goldcrestwall::Gateway
