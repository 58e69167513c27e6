// Tests of the stand-ins themselves.
#include <StandIns/PlatformServerStandIn.h>

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/StreamSocket.h>

#include <thread>

using namespace Goldcrestwall;

class TestStandIns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStandIns);
    CPPUNIT_TEST(standInOutlivesItsRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that use a stand-in after its end, which has corrupted the memory of a test program.
    void standInOutlivesItsRequests()
    {
        PlatformStoreStandIn store(0);
        PlatformRunRecorder recorder;
        PlatformServerBehaviour behaviour;
        behaviour.serviceTime_ = 1s;
        auto server = std::make_unique<PlatformServerStandIn>("p-0", behaviour, store, recorder);
        Poco::Net::StreamSocket connection(Poco::Net::SocketAddress(server->address()));
        const std::string request = "GET /plain/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: q\r\n\r\n";
        connection.sendBytes(request.data(), static_cast<int>(request.size()));
        while (recorder.runCount() == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        server.reset();
        CPPUNIT_ASSERT(monotonicNow() - recorder.runs().front().at_ >= behaviour.serviceTime_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStandIns);
