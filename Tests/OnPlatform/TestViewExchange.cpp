// Tests of an instance that many peers ask for its view.
#include "FixedCoordinator.h"

#include <LibGateway/LibGateway.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <fstream>
#include <iostream>
#include <thread>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

constexpr std::size_t ViewBytes = 300'000;
constexpr std::size_t PeerCount = 20;
// Between the versions of two configurations of a deployment.
constexpr std::uint64_t VersionStep = 3;

// JSON text of routes that have `bytes` bytes together.
std::string manyRoutes(std::size_t bytes)
{
    std::string routes;
    for (int i = 0; routes.size() < bytes; ++i) {
        const auto number = std::to_string(i);
        routes.append(R"({"resourceType":"routes","metadata":{"name":"r-extra-)").append(number);
        routes.append(R"("},"spec":{"host":"plain.example","prefix":"/extra)").append(number);
        routes.append(R"(/","kind":"idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"plain","maxAttempts":2}},)");
    }
    return routes;
}

std::size_t residentBytes(int processId)
{
    std::ifstream file("/proc/" + std::to_string(processId) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// A peer whose view is never current: it reads at about 1 Mbit/s and asks for the whole view four times a second.
class SlowPeer
{
public:
    explicit SlowPeer(const std::string &address)
        : thread_([this, address] {
            run(address);
        })
    {
    }

    ~SlowPeer()
    {
        isStopped_ = true;
        thread_.join();
    }

    SlowPeer(const SlowPeer &) = delete;
    SlowPeer &operator=(const SlowPeer &) = delete;

    std::size_t receivedBytes() const
    {
        return receivedBytes_;
    }

private:
    void run(const std::string &address)
    {
        constexpr int ReadsPerSecond = 20;
        constexpr int BytesPerRead = 6250;
        constexpr int ReadsPerRequest = 5;
        // With less, the system sends in small parts with pauses, far below the rate of reading.
        constexpr int ReceiveBuffer = 65536;
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(address));
            socket.setReceiveBufferSize(ReceiveBuffer);
            send(socket, Gateway::HelloMessage{"edge-slow", "1", "south"});
            std::vector<char> bytes(BytesPerRead);
            for (int i = 0; !isStopped_; ++i) {
                if (i % ReadsPerRequest == 0) {
                    send(socket, Gateway::ViewRequestMessage{0});
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(1000 / ReadsPerSecond));
                if (socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                    receivedBytes_ += static_cast<std::size_t>(std::max(0, socket.receiveBytes(bytes.data(), BytesPerRead)));
                }
            }
        } catch (const Poco::Exception &) {
            // The instance has closed the connection.
        }
    }

    static void send(Poco::Net::StreamSocket &socket, const Gateway::PeerMessage &message)
    {
        const auto frame = Gateway::encodeFrame(message);
        socket.sendBytes(frame.data(), static_cast<int>(frame.size()));
    }

    std::atomic<bool> isStopped_ = false;
    std::atomic<std::size_t> receivedBytes_ = 0;
    std::thread thread_;
};

// A peer that asks for nothing and collects the messages that it is sent.
class Listener
{
public:
    Listener(const std::string &address, bool wantsChanges)
    {
        socket_.connect(Poco::Net::SocketAddress(address));
        send(Gateway::HelloMessage{"edge-listener", "1", "south"});
        send(Gateway::PingMessage{1, 0, wantsChanges});
    }

    void send(const Gateway::PeerMessage &message)
    {
        const auto frame = Gateway::encodeFrame(message);
        socket_.sendBytes(frame.data(), static_cast<int>(frame.size()));
    }

    // All pushed changes received until there is one of the configuration at the version, or the time has passed.
    std::vector<Gateway::ViewChange> awaitConfiguration(std::uint64_t version, Duration timeout)
    {
        std::vector<Gateway::ViewChange> changes;
        for (const TimePoint until = monotonicNow() + timeout; monotonicNow() < until;) {
            receive();
            while (auto message = takeMessage()) {
                hasPong_ = hasPong_ || std::holds_alternative<Gateway::PongMessage>(*message);
                if (auto *change = std::get_if<Gateway::ViewChangeMessage>(&*message)) {
                    changes.push_back(Gateway::toViewChange(std::move(*change)));
                    if (configurationVersion(changes.back()) == version) {
                        return changes;
                    }
                }
            }
        }
        return changes;
    }

    bool hasPong() const
    {
        return hasPong_;
    }

    // 0 if the configuration is not part of the change.
    static std::uint64_t configurationVersion(const Gateway::ViewChange &change)
    {
        for (const auto &item : change.items_) {
            if (item.key_ == Platform::ConfigurationKey) {
                return Platform::readConfigurationVersion(item.value_).value_or(0);
            }
        }
        return 0;
    }

private:
    void receive()
    {
        std::array<char, 4096> bytes{};
        if (socket_.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
            const int size = socket_.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            CPPUNIT_ASSERT_MESSAGE("the instance has closed the connection", size > 0);
            incoming_.append(bytes.data(), static_cast<std::size_t>(size));
        }
    }

    std::optional<Gateway::PeerMessage> takeMessage()
    {
        std::uint32_t length = 0;
        if (incoming_.size() < sizeof length) {
            return std::nullopt;
        }
        std::memcpy(&length, incoming_.data(), sizeof length);
        length = ntohl(length);
        if (incoming_.size() < sizeof length + length) {
            return std::nullopt;
        }
        auto message = Gateway::decodeFrame(incoming_.data() + sizeof length, length);
        CPPUNIT_ASSERT(message);
        incoming_.erase(0, sizeof length + length);
        return message;
    }

    Poco::Net::StreamSocket socket_;
    std::string incoming_;
    bool hasPong_ = false;
};

// The version of the configuration that an instance uses, by its log.
std::uint64_t versionInForce(const RouterProcess &instance)
{
    const std::string field = R"("event":"configuration-in-force","version":)";
    std::uint64_t version = 0;
    for (const auto &line : instance.logLines()) {
        if (const auto position = line.find(field); position != std::string::npos) {
            version = std::stoull(line.substr(position + field.size()));
        }
    }
    return version;
}

} // namespace

class TestViewExchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewExchange);
    CPPUNIT_TEST(slowPeersThatAskForTheViewCostLittleMemory);
    CPPUNIT_TEST(configurationIsPushedToWhoeverWantsIt);
    CPPUNIT_TEST(pushedConfigurationIsInForceAndPassedOn);
    CPPUNIT_TEST(instanceThatKnowsItsConfigurationIsOutdatedRejects);
    CPPUNIT_TEST_SUITE_END();

public:
    void slowPeersThatAskForTheViewCostLittleMemory()
    {
        constexpr std::size_t MaxGrowth = 16U << 20U;
        Deployment deployment(1);
        deployment.putConfiguration(manyRoutes(ViewBytes));
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto before = residentBytes(deployment.instance(0).processId());
        std::vector<std::unique_ptr<SlowPeer>> peers;
        for (std::size_t i = 0; i < PeerCount; ++i) {
            peers.push_back(std::make_unique<SlowPeer>(deployment.instance(0).peerAddress()));
        }
        std::size_t largest = before;
        for (int i = 0; i < 120; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            largest = std::max(largest, residentBytes(deployment.instance(0).processId()));
        }
        const auto growth = "resident memory before " + std::to_string(before) + " bytes, largest " + std::to_string(largest);
        CPPUNIT_ASSERT_MESSAGE(growth, largest < before + MaxGrowth);
        // Each peer gets its turn.
        const bool areAllAnswered = Deployment::eventually([&peers] {
            return std::ranges::all_of(peers, [](const auto &peer) {
                return peer->receivedBytes() > ViewBytes;
            });
        });
        std::string received = growth + "; bytes received by each peer:";
        for (const auto &peer : peers) {
            received += " " + std::to_string(peer->receivedBytes());
        }
        CPPUNIT_ASSERT_MESSAGE(received, areAllAnswered);
        std::cout << growth << '\n';
    }

    // A peer that does not say that it wants changes may be of an earlier version, which would close the connection.
    void configurationIsPushedToWhoeverWantsIt()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto version = versionInForce(deployment.instance(0));
        const auto next = version + VersionStep;
        Listener wanting(deployment.instance(0).peerAddress(), true);
        Listener earlier(deployment.instance(0).peerAddress(), false);
        wanting.awaitConfiguration(version, 300ms);
        CPPUNIT_ASSERT(wanting.hasPong());
        deployment.putConfiguration(manyRoutes(1000));
        const auto changes = wanting.awaitConfiguration(next, 2s);
        CPPUNIT_ASSERT(!changes.empty());
        CPPUNIT_ASSERT_EQUAL(next, Listener::configurationVersion(changes.back()));
        CPPUNIT_ASSERT(changes.back().isComplete_);
        for (std::size_t i = 1; i < changes.size(); ++i) {
            CPPUNIT_ASSERT_MESSAGE("each change joins on to the one before", changes[i].from_ == changes[i - 1].to_);
        }
        CPPUNIT_ASSERT(earlier.awaitConfiguration(next, 300ms).empty());
        CPPUNIT_ASSERT(earlier.hasPong());
    }

    // Neither the store nor a request has a part in it: the change does not join on to the instance's view, whose revision stays.
    void pushedConfigurationIsInForceAndPassedOn()
    {
        constexpr std::uint64_t Later = 1'000'000;
        constexpr std::uint64_t Version = 1000;
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Listener sender(deployment.instance(0).peerAddress(), false);
        Listener receiver(deployment.instance(0).peerAddress(), true);
        receiver.awaitConfiguration(Version, 300ms);
        const std::string text = R"({"version":1000,"resources":[]})";
        const Gateway::ViewChange change{{0, Later - 1}, {0, Later}, true, {{Platform::ConfigurationKey, text, {0, Later}, {}}}, {}};
        sender.send(Gateway::toMessage(change));
        const auto changes = receiver.awaitConfiguration(Version, 2s);
        CPPUNIT_ASSERT(!changes.empty());
        CPPUNIT_ASSERT(changes.back() == change);
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            const bool isInForce = Deployment::eventually(
                [&] {
                    return versionInForce(deployment.instance(i)) == Version;
                },
                2s);
            CPPUNIT_ASSERT_MESSAGE("instance " + std::to_string(i), isInForce);
        }
        // A second copy is no news.
        sender.send(Gateway::toMessage(change));
        CPPUNIT_ASSERT(receiver.awaitConfiguration(Version, 500ms).empty());
    }

    void instanceThatKnowsItsConfigurationIsOutdatedRejects()
    {
        constexpr std::uint64_t Later = 1'000'000;
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        FixedCoordinator coordinator(deployment, "plain", deployment.plain(0));
        const bool isPlacedThere = Deployment::eventually([&] {
            deployment.call(0, CallerRequest());
            return coordinator.placementCount() > 0;
        });
        CPPUNIT_ASSERT(isPlacedThere);
        deployment.store().setFault(PlatformStoreFault::Unresponsive);
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, CallerRequest()).status_);
        coordinator.claimConfiguration(Later);
        CallerAnswer answer;
        const bool isRejected = Deployment::eventually(
            [&] {
                answer = deployment.call(0, CallerRequest());
                return answer.status_ == 503;
            },
            4s);
        CPPUNIT_ASSERT(isRejected);
        CPPUNIT_ASSERT(answer.hasRetryAfter_);
        // Lines are written some times a second.
        const bool isReasonLogged = Deployment::eventually(
            [&deployment] {
                return !deployment.linesContaining("outdated-configuration").empty();
            },
            2s);
        CPPUNIT_ASSERT(isReasonLogged);
        // The store knows what is in force, whatever peers say.
        deployment.store().setFault(PlatformStoreFault::None);
        const auto isServedForAWhile = [&deployment] {
            for (const TimePoint until = monotonicNow() + 3s; monotonicNow() < until;) {
                if (deployment.call(0, CallerRequest()).status_ != 200) {
                    return false;
                }
            }
            return true;
        };
        CPPUNIT_ASSERT(Deployment::eventually(isServedForAWhile));
        CPPUNIT_ASSERT(!deployment.linesContaining("configuration-fetched").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewExchange);
