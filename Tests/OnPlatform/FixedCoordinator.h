// A test peer that coordinates a service without knowing anything about its servers.
#pragma once

#include "Deployment.h"

#include <LibGateway/LibGateway.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <mutex>
#include <thread>

namespace Goldcrestwall::OnPlatform {

// Speaks the peer protocol, registers itself in the store as coordinator of a service and places every request at one server, like a
// coordinator whose view of the store is out of date.
class FixedCoordinator
{
public:
    FixedCoordinator(Deployment &deployment, std::string service, const PlatformServerStandIn &server);
    ~FixedCoordinator();
    FixedCoordinator(const FixedCoordinator &) = delete;
    FixedCoordinator &operator=(const FixedCoordinator &) = delete;

    // Says from now on that it knows a configuration of the revision.
    void claimConfiguration(std::uint64_t revision)
    {
        configurationRevision_ = revision;
    }
    // Number of placements that were sent.
    std::size_t placementCount() const
    {
        return placementCount_;
    }
    // The reports of finished requests, in the order in which they arrived.
    std::vector<Gateway::FinishMessage> reports() const;

private:
    void accept();
    void serve(Poco::Net::StreamSocket socket);
    void handle(Poco::Net::StreamSocket &socket, const Gateway::PeerMessage &message);

    std::string service_;
    std::string server_;
    std::string serverAddress_;
    UnixMilliseconds serverStartTime_;
    Poco::Net::ServerSocket listener_;
    std::atomic<bool> isStopped_ = false;
    std::atomic<std::size_t> placementCount_ = 0;
    std::atomic<std::uint64_t> configurationRevision_ = 0;
    mutable std::mutex mutex_;
    std::vector<Gateway::FinishMessage> reports_;
    // Filled by the acceptor only.
    std::vector<std::thread> connections_;
    std::thread acceptor_;
};

} // namespace Goldcrestwall::OnPlatform
