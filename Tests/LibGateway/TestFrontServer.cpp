// Tests of callers' connections, with a loop that the test runs handler by handler.
#include <LibGateway/LibGateway.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr std::uint64_t Capacity = 1U << 20U;
constexpr std::size_t MaxConnections = 3;
constexpr Duration Patience = 3s;
// More handlers than it takes to accept a connection and to answer a request.
constexpr int MaxHandlers = 40;

Tcp::endpoint freeEndpoint()
{
    asio::io_context loop;
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint();
}

std::string textOf(const Tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

MemberEntry member()
{
    return {"edge-1", "1", "127.0.0.1:1", "north", 200};
}

// A front server that knows no configuration and so answers each request with 503 at once.
struct Front
{
    MemoryAccount memory_{Capacity};
    asio::io_context loop_;
    EventLog log_{"edge-1"};
    MetricRegistry metrics_;
    std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>();
    StoreView view_{[](const std::string &, const std::string &) {}, notices_};
    Platform::PlatformStore store_{loop_, "127.0.0.1:1", memory_};
    StoreLink storeLink_{loop_, store_, view_, member(), log_, {[] {}, [] {}}};
    PeerNetwork network_{loop_, HelloMessage{"edge-1", "1", "north"}, log_, {}};
    PlacementService placement_{loop_, "edge-1", "north", view_, network_, {}, notices_, log_};
    HttpClient client_{loop_};
    AnnouncementRecorder announcements_{"edge-1", notices_, log_, metrics_};
    RequestFlow flow_{loop_, view_, storeLink_, placement_, client_, announcements_, log_, metrics_};
    FrontServer front_{loop_, view_, flow_, memory_, MaxConnections, log_, metrics_};
    Tcp::endpoint endpoint_ = freeEndpoint();

    Front()
    {
        CPPUNIT_ASSERT(!front_.listen(textOf(endpoint_)));
    }

    // Runs the loop until the caller's connection has brought something or ended.
    void runUntilAnswered(Tcp::socket &caller)
    {
        const TimePoint until = bootNow() + Patience;
        ErrorCode error;
        caller.non_blocking(true, error);
        char byte = 0;
        do {
            loop_.run_for(std::chrono::milliseconds(2));
            loop_.restart();
            caller.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        } while (error == asio::error::would_block && bootNow() < until);
    }
};

Tcp::socket connectTo(asio::io_context &loop, const Tcp::endpoint &endpoint)
{
    Tcp::socket caller(loop);
    caller.connect(endpoint);
    return caller;
}

std::string receive(Tcp::socket &caller)
{
    std::array<char, 1024> received{};
    ErrorCode error;
    const auto size = caller.receive(asio::buffer(received), 0, error);
    return {received.data(), size};
}

const std::string Request = "GET /plain/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: q1\r\n\r\n";

} // namespace

class TestFrontServer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestFrontServer);
    CPPUNIT_TEST(requestThatHasArrivedIsAnsweredInAPlannedStop);
    CPPUNIT_TEST(idleConnectionsAreClosedInAPlannedStop);
    CPPUNIT_TEST(connectionsBeyondTheDescriptorsAreRefused);
    CPPUNIT_TEST(connectionsBeyondTheMemoryAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a planned stop that closes a connection whose request has arrived while the loop was busy with other handlers.
    void requestThatHasArrivedIsAnsweredInAPlannedStop()
    {
        for (int handlers = 0; handlers < MaxHandlers; ++handlers) {
            Front front;
            asio::io_context callerLoop;
            auto caller = connectTo(callerLoop, front.endpoint_);
            while (front.front_.connectionCount() == 0) {
                front.loop_.run_one();
            }
            asio::write(caller, asio::buffer(Request));
            for (int i = 0; i < handlers; ++i) {
                front.loop_.poll_one();
            }
            front.front_.beginStop();
            front.front_.closeIdle();
            front.runUntilAnswered(caller);
            const auto received = receive(caller);
            CPPUNIT_ASSERT_MESSAGE("after " + std::to_string(handlers) + " handlers: '" + received + "'", received.starts_with("HTTP/1.1 503"));
        }
    }

    void idleConnectionsAreClosedInAPlannedStop()
    {
        for (int handlers = 0; handlers < MaxHandlers; ++handlers) {
            Front front;
            asio::io_context callerLoop;
            auto caller = connectTo(callerLoop, front.endpoint_);
            while (front.front_.connectionCount() == 0) {
                front.loop_.run_one();
            }
            for (int i = 0; i < handlers; ++i) {
                front.loop_.poll_one();
            }
            front.front_.beginStop();
            front.front_.closeIdle();
            front.runUntilAnswered(caller);
            CPPUNIT_ASSERT_EQUAL(std::string(), receive(caller));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), front.front_.connectionCount());
        }
    }

    void connectionsBeyondTheDescriptorsAreRefused()
    {
        Front front;
        checkRefusalAfter(MaxConnections, front);
    }

    void connectionsBeyondTheMemoryAreRefused()
    {
        Front front;
        // Room for one connection of up to 20,000 bytes.
        MemoryReservation others(front.memory_, MemoryHolder::StoreResponses);
        CPPUNIT_ASSERT(others.tryReserve(front.memory_.ceiling(MemoryHolder::CallerConnections) - 20'000));
        checkRefusalAfter(1, front);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), front.memory_.refusals(MemoryHolder::CallerConnections));
    }

private:
    // Checks that so many callers are accepted, that the next one gets a 503, and that there is room again when one has left.
    static void checkRefusalAfter(std::size_t count, Front &front)
    {
        asio::io_context callerLoop;
        std::vector<Tcp::socket> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(connectTo(callerLoop, front.endpoint_));
            while (front.front_.connectionCount() <= i) {
                front.loop_.run_one();
            }
        }
        auto refused = connectTo(callerLoop, front.endpoint_);
        asio::write(refused, asio::buffer(Request));
        front.runUntilAnswered(refused);
        const auto answer = receive(refused);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos && answer.find("Connection: close") != std::string::npos);
        ErrorCode error;
        char byte = 0;
        refused.receive(asio::buffer(&byte, 1), 0, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), error == asio::error::eof);
        CPPUNIT_ASSERT_EQUAL(count, front.front_.connectionCount());
        callers.pop_back();
        while (front.front_.connectionCount() == count) {
            front.loop_.run_one();
        }
        auto next = connectTo(callerLoop, front.endpoint_);
        asio::write(next, asio::buffer(Request));
        front.runUntilAnswered(next);
        CPPUNIT_ASSERT(receive(next).starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(count, front.front_.connectionCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFrontServer);
