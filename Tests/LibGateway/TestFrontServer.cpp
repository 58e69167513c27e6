// Tests of callers' connections, with a loop that the test runs handler by handler.
#include <LibGateway/LibGateway.h>

#include <Tests/StoreVersions.h>
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

std::string requestWith(const std::string &headers)
{
    return "GET /plain/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: q1\r\n" + headers + "\r\n";
}

const std::string Request = requestWith("");

std::string receive(Tcp::socket &caller)
{
    std::array<char, 1024> received{};
    ErrorCode error;
    const auto size = caller.receive(asio::buffer(received), 0, error);
    return {received.data(), size};
}

// A front server that knows no routes, and no configuration until one is put, and so answers each request with 503 at once.
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
    LoopDelayMeter loopDelay_;
    FrontServer front_{loop_, loopDelay_, view_, flow_, memory_, MaxConnections, log_, metrics_};
    Tcp::endpoint endpoint_ = freeEndpoint();
    std::uint64_t revision_ = 0;

    Front()
    {
        CPPUNIT_ASSERT(!front_.listen(textOf(endpoint_)));
    }

    // Puts the next version of the configuration, with these limits as JSON text.
    void putLimits(const std::string &limits)
    {
        ++revision_;
        const std::string text =
            R"({"version":)" + std::to_string(revision_) + R"(,"resources":[{"resourceType":"limits","metadata":{},"spec":)" + limits + "}]}";
        view_.apply({{{"op/config", text, atRevision(revision_), {}}, false}}, atRevision(revision_), bootNow());
        CPPUNIT_ASSERT_EQUAL(revision_, view_.configuration()->version_);
    }

    // Sends a request on the caller's connection and returns what comes back.
    std::string call(Tcp::socket &caller, const std::string &request)
    {
        caller.non_blocking(false);
        asio::write(caller, asio::buffer(request));
        runUntilAnswered(caller);
        return receive(caller);
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

} // namespace

class TestFrontServer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestFrontServer);
    CPPUNIT_TEST(requestThatHasArrivedIsAnsweredInAPlannedStop);
    CPPUNIT_TEST(idleConnectionsAreClosedInAPlannedStop);
    CPPUNIT_TEST(keptConnectionsFollowLaterLimits);
    CPPUNIT_TEST(idleConnectionsFollowALaterLimit);
    CPPUNIT_TEST(withoutAConfigurationNothingIsRefusedForItsSizeForGood);
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

    // Guards against requests on kept connections that are refused by the limits of an older configuration.
    void keptConnectionsFollowLaterLimits()
    {
        const std::string smallLimits = R"({"maxHeaderBytes":400,"maxBodyBytes":100})";
        const std::string largeLimits = R"({"maxHeaderBytes":4000,"maxBodyBytes":1000})";
        const std::string longHead = requestWith("Padding: " + std::string(800, 'p') + "\r\n");
        const std::string largeBody = requestWith("Content-Length: 500\r\n") + std::string(500, 'b');
        for (const auto &[request, refusal] : {std::pair(longHead, "HTTP/1.1 431"), std::pair(largeBody, "HTTP/1.1 413")}) {
            Front front;
            front.putLimits(smallLimits);
            asio::io_context callerLoop;
            auto caller = connectTo(callerLoop, front.endpoint_);
            CPPUNIT_ASSERT(front.call(caller, Request).starts_with("HTTP/1.1 503"));
            front.putLimits(largeLimits);
            const auto allowed = front.call(caller, request);
            CPPUNIT_ASSERT_MESSAGE(allowed, allowed.starts_with("HTTP/1.1 503"));
            CPPUNIT_ASSERT_MESSAGE(allowed, allowed.find("Connection: close") == std::string::npos);
            front.putLimits(smallLimits);
            const auto refused = front.call(caller, request);
            CPPUNIT_ASSERT_MESSAGE(refused, refused.starts_with(refusal));
        }
    }

    void idleConnectionsFollowALaterLimit()
    {
        Front front;
        front.putLimits(R"({"idleTimeoutS":0.3})");
        asio::io_context callerLoop;
        auto caller = connectTo(callerLoop, front.endpoint_);
        CPPUNIT_ASSERT(front.call(caller, Request).starts_with("HTTP/1.1 503"));
        front.putLimits(R"({"idleTimeoutS":1.2})");
        front.loop_.run_for(std::chrono::milliseconds(600));
        front.loop_.restart();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), front.front_.connectionCount());
        front.loop_.run_for(std::chrono::milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), front.front_.connectionCount());
    }

    // Callers never repeat a request after 413 or 431, and the operator may allow what the program's own limits do not.
    void withoutAConfigurationNothingIsRefusedForItsSizeForGood()
    {
        const std::string longHead = requestWith("Padding: " + std::string(20000, 'p') + "\r\n");
        const std::string largeBody = requestWith("Content-Length: 60000000\r\n");
        for (const auto &request : {longHead, largeBody}) {
            Front front;
            asio::io_context callerLoop;
            auto caller = connectTo(callerLoop, front.endpoint_);
            const auto received = front.call(caller, request);
            CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 503"));
            CPPUNIT_ASSERT_MESSAGE(received, received.find("Retry-After: ") != std::string::npos);
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
