// The peer protocol of a coordinator that always chooses the same server.
#include "FixedCoordinator.h"

#include <arpa/inet.h>

#include <cstring>

namespace Goldcrestwall::OnPlatform {

namespace {

constexpr const char *Name = "edge-fixed";
// Far more than any instance of a deployment has, so that none takes the service over.
constexpr std::uint32_t CpuMillicores = 64000;
constexpr long PollMicroseconds = 20000;

void sendMessage(Poco::Net::StreamSocket &socket, const Gateway::PeerMessage &message)
{
    const auto frame = Gateway::encodeFrame(message);
    socket.sendBytes(frame.data(), static_cast<int>(frame.size()));
}

// Removes the first complete frame from the buffer and decodes it.
std::optional<Gateway::PeerMessage> takeMessage(std::string &buffer)
{
    std::uint32_t length = 0;
    if (buffer.size() < sizeof length) {
        return std::nullopt;
    }
    std::memcpy(&length, buffer.data(), sizeof length);
    length = ntohl(length);
    if (buffer.size() < sizeof length + length) {
        return std::nullopt;
    }
    auto message = Gateway::decodeFrame(buffer.data() + sizeof length, length);
    buffer.erase(0, sizeof length + length);
    return message;
}

} // namespace

FixedCoordinator::FixedCoordinator(Deployment &deployment, std::string service, const PlatformServerStandIn &server)
    : service_(std::move(service))
    , server_(server.id())
    , serverAddress_(server.address())
    , serverStartTime_(server.startTime())
    , listener_(Poco::Net::SocketAddress("127.0.0.1", 0))
{
    const Gateway::MemberEntry self{Name, "1", listener_.address().toString(), "north", CpuMillicores};
    deployment.store().put(Gateway::memberKey(Name), Gateway::encodeMember(self));
    deployment.store().put(Gateway::coordinatorKey(service_), Gateway::encodeMember(self));
    acceptor_ = std::thread([this] {
        accept();
    });
}

FixedCoordinator::~FixedCoordinator()
{
    isStopped_ = true;
    acceptor_.join();
    for (auto &connection : connections_) {
        connection.join();
    }
}

std::vector<Gateway::FinishMessage> FixedCoordinator::reports() const
{
    const std::lock_guard lock(mutex_);
    return reports_;
}

void FixedCoordinator::accept()
{
    while (!isStopped_) {
        if (listener_.poll(Poco::Timespan(PollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
            connections_.emplace_back([this, socket = listener_.acceptConnection()] {
                serve(socket);
            });
        }
    }
}

void FixedCoordinator::serve(Poco::Net::StreamSocket socket)
{
    std::string buffer;
    try {
        sendMessage(socket, Gateway::HelloMessage{Name, "1", "north"});
        while (!isStopped_) {
            if (!socket.poll(Poco::Timespan(PollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            char bytes[4096];
            const int received = socket.receiveBytes(bytes, sizeof bytes);
            if (received <= 0) {
                return;
            }
            buffer.append(bytes, static_cast<std::size_t>(received));
            while (const auto message = takeMessage(buffer)) {
                handle(socket, *message);
            }
        }
    } catch (const Poco::Exception &) {
        // The instance has closed the connection.
    }
}

void FixedCoordinator::handle(Poco::Net::StreamSocket &socket, const Gateway::PeerMessage &message)
{
    if (const auto *ping = std::get_if<Gateway::PingMessage>(&message)) {
        Gateway::PongMessage pong;
        pong.pingSentAt_ = ping->sentAt_;
        pong.configurationRevision_ = configurationRevision_;
        sendMessage(socket, pong);
    } else if (const auto *request = std::get_if<Gateway::PlacementRequestMessage>(&message)) {
        ++placementCount_;
        sendMessage(socket, Gateway::PlacementMessage{service_, request->number_, server_, serverAddress_, serverStartTime_, 0});
    } else if (const auto *finish = std::get_if<Gateway::FinishMessage>(&message)) {
        const std::lock_guard lock(mutex_);
        reports_.push_back(*finish);
    }
}

} // namespace Goldcrestwall::OnPlatform
