// Tests of an instance that many peers ask for its view.
#include "Deployment.h"

#include <LibGateway/LibGateway.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <thread>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

constexpr std::size_t ViewBytes = 300'000;
constexpr std::size_t PeerCount = 20;

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

} // namespace

class TestViewExchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewExchange);
    CPPUNIT_TEST(slowPeersThatAskForTheViewCostLittleMemory);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewExchange);
