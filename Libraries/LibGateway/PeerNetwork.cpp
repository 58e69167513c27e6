// Connecting, pinging and closing of peer connections.
#include "PeerNetwork.h"

#include "Tasks.h"

#include <algorithm>
#include <functional>

namespace Goldcrestwall::Gateway {

namespace {

// An outgoing connection without a message for the first time span is not used; after the second it is closed.
constexpr Duration ReceiveTimeout = 1s;
constexpr Duration CloseTimeout = 1500ms;
constexpr Duration ConnectTimeout = 500ms;
constexpr Duration RetryInterval = 300ms;
// A connection on which the peer's system takes nothing for this time, although there is something to be sent, is closed.
constexpr Duration StallTimeout = 2s;
// The largest message that a peer sends on a connection that it opened.
constexpr std::uint32_t MaxRequestBytes = 65536;
// An incoming connection without a message for this time is closed.
constexpr Duration IncomingTimeout = 3s;

} // namespace

PeerNetwork::PeerNetwork(asio::io_context &loop, HelloMessage self, EventLog &log, Handlers handlers, PeerLimits limits)
    : loop_(loop)
    , self_(std::move(self))
    , log_(log)
    , handlers_(std::move(handlers))
    , limits_(limits)
    , listener_(loop, [this](Tcp::socket socket) {
        accept(std::move(socket));
    })
{
}

std::error_code PeerNetwork::listen(const std::string &address)
{
    return listener_.listen(address);
}

void PeerNetwork::recordClosed(const std::shared_ptr<PeerLink> &link)
{
    if (link->closeReason() != PeerCloseReason::None) {
        ++closedLinks_[link->closeReason()];
    }
}

bool PeerNetwork::makeRoom()
{
    if (incoming_.size() < limits_.incomingConnections_) {
        return true;
    }
    std::shared_ptr<PeerLink> oldest;
    for (const auto &link : incoming_) {
        if (!link->hasHello() && (!oldest || link->lastReceivedAt() < oldest->lastReceivedAt())) {
            oldest = link;
        }
    }
    if (!oldest) {
        return false;
    }
    oldest->close(PeerCloseReason::TooManyConnections);
    return true;
}

void PeerNetwork::enforceLimits(TimePoint now)
{
    const auto links = allLinks();
    for (const auto &link : links) {
        if (link->stalledFor(now) > StallTimeout) {
            link->close(PeerCloseReason::NotReading);
        }
    }
    // The connections that hold most end first.
    const auto closeLargest = [&links](auto bytesOf, std::size_t limit, PeerCloseReason reason) {
        std::vector<std::shared_ptr<PeerLink>> open;
        std::size_t bytes = 0;
        for (const auto &link : links) {
            if (link->isOpen()) {
                open.push_back(link);
                bytes += bytesOf(*link);
            }
        }
        if (bytes <= limit) {
            return;
        }
        std::ranges::sort(open, std::ranges::greater(), [&bytesOf](const std::shared_ptr<PeerLink> &link) {
            return bytesOf(*link);
        });
        for (std::size_t i = 0; i < open.size() && bytes > limit; ++i) {
            bytes -= bytesOf(*open[i]);
            open[i]->close(reason);
        }
    };
    closeLargest(
        [](const PeerLink &link) {
            return link.ownOutgoingBytes();
        },
        limits_.outgoingBytes_,
        PeerCloseReason::AllQueuesFull);
    // Connections that this instance opened bring answers for the view, of which there is one at a time.
    closeLargest(
        [](const PeerLink &link) {
            return link.address().empty() ? link.incomingBytes() : 0;
        },
        limits_.incomingBytes_,
        PeerCloseReason::InputFull);
}

void PeerNetwork::accept(Tcp::socket socket)
{
    if (!makeRoom()) {
        ++closedLinks_[PeerCloseReason::TooManyConnections];
        log_.write(LogLine("peer-refused").add("connections", incoming_.size()), LogImportance::Sampled, bootNow());
        return;
    }
    PeerLink::Handlers handlers;
    handlers.message_ = handlers_.incoming_;
    handlers.closed_ = [this](const std::shared_ptr<PeerLink> &link) {
        recordClosed(link);
        incoming_.erase(link);
        handlers_.incomingClosed_(link);
    };
    auto link = std::make_shared<PeerLink>(loop_, std::move(socket), std::move(handlers), log_);
    link->setMaxFrameBytes(MaxRequestBytes);
    incoming_.insert(link);
    link->start();
    link->send(self_);
}

void PeerNetwork::stop()
{
    listener_.close();
}

void PeerNetwork::setRequiredAddresses(std::set<std::string> addresses, TimePoint now)
{
    std::vector<std::shared_ptr<PeerLink>> unneeded;
    std::erase_if(outgoing_, [&](auto &entry) {
        if (addresses.contains(entry.first)) {
            return false;
        }
        if (entry.second.link_) {
            unneeded.push_back(entry.second.link_);
        }
        return true;
    });
    for (const auto &link : unneeded) {
        link->close();
    }
    for (const auto &address : addresses) {
        outgoing_.try_emplace(address);
    }
    maintain(now);
}

void PeerNetwork::ping(const std::string &address, Outgoing &outgoing, TimePoint now) const
{
    outgoing.pingedAt_ = now;
    outgoing.link_->send(PingMessage{now.time_since_epoch().count(), version_.revision_, changeSources_.contains(address), version_.era_});
}

void PeerNetwork::setChangeSources(std::set<std::string> addresses, TimePoint now)
{
    const auto before = std::exchange(changeSources_, std::move(addresses));
    for (auto &[address, outgoing] : outgoing_) {
        if (outgoing.link_ && changeSources_.contains(address) && !before.contains(address)) {
            ping(address, outgoing, now);
        }
    }
}

std::vector<std::shared_ptr<PeerLink>> PeerNetwork::changeReceivers() const
{
    std::vector<std::shared_ptr<PeerLink>> receivers;
    std::ranges::copy_if(incoming_, std::back_inserter(receivers), &PeerLink::wantsChanges);
    std::stable_partition(receivers.begin(), receivers.end(), [this](const std::shared_ptr<PeerLink> &link) {
        return link->domain() == self_.domain_;
    });
    return receivers;
}

void PeerNetwork::maintain(TimePoint now)
{
    std::vector<std::shared_ptr<PeerLink>> unresponsive;
    for (auto &[address, outgoing] : outgoing_) {
        if (!outgoing.link_) {
            if (!outgoing.isConnecting_ && now >= outgoing.nextTryAt_) {
                outgoing.isConnecting_ = true;
                outgoing.nextTryAt_ = now + RetryInterval;
                spawn(loop_, log_, "peer-connect", [this, address = address] {
                    return connect(address);
                });
            }
            continue;
        }
        if (now - outgoing.link_->lastReceivedAt() > CloseTimeout) {
            unresponsive.push_back(outgoing.link_);
        } else if (now - outgoing.pingedAt_ >= PingInterval) {
            ping(address, outgoing, now);
        }
    }
    for (const auto &link : incoming_) {
        if (now - link->lastReceivedAt() > IncomingTimeout) {
            unresponsive.push_back(link);
        }
    }
    for (const auto &link : unresponsive) {
        link->close();
    }
    enforceLimits(now);
}

Task<void> PeerNetwork::connect(std::string address)
{
    const auto endpoint = parseEndpoint(address);
    beast::tcp_stream stream(loop_);
    ErrorCode error = asio::error::host_unreachable;
    if (endpoint) {
        stream.expires_after(std::chrono::microseconds(ConnectTimeout));
        co_await stream.async_connect(*endpoint, redirectErrorTo(error));
    }
    const auto found = outgoing_.find(address);
    if (found == outgoing_.end()) {
        co_return;
    }
    found->second.isConnecting_ = false;
    if (error) {
        co_return;
    }
    stream.expires_never();
    PeerLink::Handlers handlers;
    handlers.message_ = [this, address](const std::shared_ptr<PeerLink> &link, PeerMessage message) {
        if (const auto known = outgoing_.find(address); known != outgoing_.end() && known->second.link_ == link) {
            known->second.hasReceived_ = true;
        }
        handlers_.outgoing_(link, std::move(message));
    };
    handlers.closed_ = [this, address](const std::shared_ptr<PeerLink> &link) {
        recordClosed(link);
        if (const auto known = outgoing_.find(address); known != outgoing_.end() && known->second.link_ == link) {
            known->second.link_.reset();
            known->second.hasReceived_ = false;
            log_.write(LogLine("peer-lost").add("address", address), LogImportance::State, bootNow());
        }
    };
    auto link = std::make_shared<PeerLink>(loop_, stream.release_socket(), std::move(handlers), log_);
    link->setAddress(address);
    found->second.link_ = link;
    link->start();
    link->send(self_);
    ping(address, found->second, bootNow());
    log_.write(LogLine("peer-connected").add("address", address), LogImportance::State, bootNow());
    handlers_.opened_(address, link);
}

std::shared_ptr<PeerLink> PeerNetwork::link(const std::string &address, TimePoint now) const
{
    const auto found = outgoing_.find(address);
    if (found == outgoing_.end() || !found->second.link_ || !found->second.hasReceived_) {
        return nullptr;
    }
    return now - found->second.link_->lastReceivedAt() < ReceiveTimeout ? found->second.link_ : nullptr;
}

std::vector<std::shared_ptr<PeerLink>> PeerNetwork::openLinks(TimePoint now) const
{
    std::vector<std::shared_ptr<PeerLink>> links;
    for (const auto &[address, outgoing] : outgoing_) {
        if (auto open = link(address, now)) {
            links.push_back(std::move(open));
        }
    }
    return links;
}

std::vector<std::shared_ptr<PeerLink>> PeerNetwork::allLinks() const
{
    std::vector<std::shared_ptr<PeerLink>> links(incoming_.begin(), incoming_.end());
    for (const auto &[address, outgoing] : outgoing_) {
        if (outgoing.link_) {
            links.push_back(outgoing.link_);
        }
    }
    return links;
}

void PeerNetwork::announce(const PeerMessage &message)
{
    for (const auto &link : incoming_) {
        if (link->domain() == self_.domain_) {
            link->send(message);
        }
    }
}

void PeerNetwork::announceToAll(const PeerMessage &message)
{
    for (const auto &link : incoming_) {
        link->send(message);
    }
}

void PeerNetwork::resetLiveness()
{
    for (auto &[address, outgoing] : outgoing_) {
        outgoing.hasReceived_ = false;
    }
}

} // namespace Goldcrestwall::Gateway
