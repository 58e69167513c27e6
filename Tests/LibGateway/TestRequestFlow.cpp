// Tests of the way of a request to a server, with a loop that the test runs handler by handler.
#include <LibGateway/LibGateway.h>

#include <Tests/StoreVersions.h>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <poll.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr std::uint64_t Capacity = 1U << 20U;
constexpr Duration Patience = 3s;
constexpr UnixMilliseconds StartTime = 5;

bool isReadable(int handle)
{
    pollfd entry{handle, POLLIN, 0};
    return ::poll(&entry, 1, 0) > 0;
}

// A server that accepts and answers only when the test says so.
class Server
{
public:
    Server(std::string id, std::string domain)
        : id_(std::move(id))
        , domain_(std::move(domain))
    {
    }

    const std::string &id() const
    {
        return id_;
    }
    const std::string &domain() const
    {
        return domain_;
    }
    std::string entry(const std::string &state) const
    {
        const auto address = acceptor_.local_endpoint();
        return R"({"service":"one","address":")" + address.address().to_string() + ":" + std::to_string(address.port()) + R"(","zone":")" + domain_
            + R"(","version":"v1","capacity":2,"state":")" + state + R"(","warmupLeftS":0,"sequence":0,"born":)" + std::to_string(StartTime) + "}";
    }
    // Whether a connection to the server has begun.
    bool isConnectedTo()
    {
        return isReadable(acceptor_.native_handle());
    }
    void accept()
    {
        socket_ = acceptor_.accept();
    }
    bool hasInput()
    {
        return isReadable(socket_.native_handle());
    }
    // The bytes that have come; empty if there are none.
    std::string receive()
    {
        socket_.non_blocking(true);
        std::array<char, 4096> received{};
        ErrorCode error;
        const auto size = socket_.receive(asio::buffer(received), 0, error);
        return {received.data(), size};
    }
    void answer()
    {
        const std::string text = "HTTP/1.1 200 OK\r\nGoldcrestwall-Request-Id: q1\r\nGoldcrestwall-Server-Signature: s\r\nContent-Length: 0\r\n\r\n";
        asio::write(socket_, asio::buffer(text));
    }

private:
    std::string id_;
    std::string domain_;
    asio::io_context loop_;
    Tcp::acceptor acceptor_{loop_, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    Tcp::socket socket_{loop_};
};

// One instance that knows a route to a service of two servers.
struct Instance
{
    MemoryAccount memory_{Capacity};
    asio::io_context loop_;
    EventLog log_{"edge-1"};
    MetricRegistry metrics_;
    std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>();
    StoreView view_{[](const std::string &, const std::string &) {}, notices_};
    Platform::PlatformStore store_{loop_, "127.0.0.1:1", memory_};
    StoreLink storeLink_{loop_, store_, view_, {"edge-1", "1", "127.0.0.1:1", "north", 200}, log_, {[] {}, [] {}}};
    PeerNetwork network_{loop_, HelloMessage{"edge-1", "1", "north"}, log_, {}};
    PlacementService placement_{loop_, "edge-1", "north", view_, network_, {}, notices_, log_};
    HttpClient client_{loop_};
    AnnouncementRecorder announcements_{"edge-1", notices_, log_, metrics_};
    RequestFlow flow_{loop_, view_, storeLink_, placement_, client_, announcements_, log_, metrics_};
    std::array<Server, 2> servers_{Server("i-1", "north"), Server("i-2", "south")};
    std::uint64_t revision_ = 0;
    std::optional<unsigned> status_;

    Instance()
    {
        put("op/config",
            R"({"version":1,"resources":[
            {"resourceType":"routes","metadata":{"name":"r"},"spec":{"host":"one.example","prefix":"/","kind":"non_idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"one","maxAttempts":1}},
            {"resourceType":"services","metadata":{"name":"one"},"spec":{"healthPath":"/health","maxConns":120,"warmupS":1,"warmupPerS":5}}]})");
        CPPUNIT_ASSERT(view_.configuration() != nullptr);
        for (const auto &server : servers_) {
            put("servers/" + server.id(), server.entry("ready"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view_.serverCount());
    }

    void put(const std::string &key, const std::string &value)
    {
        ++revision_;
        view_.apply({{{key, value, atRevision(revision_), {}}, false}}, atRevision(revision_), bootNow());
        placement_.refresh(bootNow());
    }

    void remove(const std::string &key)
    {
        ++revision_;
        view_.apply({{{key, {}, atRevision(revision_), {}}, true}}, atRevision(revision_), bootNow());
        placement_.refresh(bootNow());
    }

    void call()
    {
        asio::co_spawn(
            loop_,
            [this]() -> Task<void> {
                HttpRequest request(http::verb::post, "/x", 11);
                request.set(http::field::host, "one.example");
                request.set("Goldcrestwall-Request-Id", "q1");
                const auto response = co_await flow_.run(request, std::make_shared<RequestControl>(memory_), bootNow());
                status_ = response ? response->result_int() : 0;
            },
            asio::detached);
    }

    // Runs the loop one handler at a time until the check holds.
    bool runUntil(const std::function<bool()> &check)
    {
        const TimePoint until = bootNow() + Patience;
        while (!check() && bootNow() < until) {
            loop_.restart();
            loop_.run_one_for(std::chrono::milliseconds(2));
        }
        return check();
    }

    // The server to which a connection has begun whose end this instance has not handled; null if there is none.
    Server *connecting()
    {
        const auto found = std::ranges::find_if(servers_, &Server::isConnectedTo);
        return found == servers_.end() ? nullptr : &*found;
    }
};

} // namespace

class TestRequestFlow : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestFlow);
    CPPUNIT_TEST(serverThatStaysGetsTheRequest);
    CPPUNIT_TEST(serverThatSaysWhileItIsConnectedToThatItLeavesGetsNothing);
    CPPUNIT_TEST(serverWhoseEntrySaysWhileItIsConnectedToThatItLeavesGetsNothing);
    CPPUNIT_TEST(serverWhoseEntryIsRemovedWhileItIsConnectedToGetsNothing);
    CPPUNIT_TEST(serverThatIsTakenOutWhileItIsConnectedToGetsNothing);
    CPPUNIT_TEST(serverThatAsksForNoRequestsWhileItIsConnectedToGetsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void serverThatStaysGetsTheRequest()
    {
        Instance instance;
        auto &server = beginConnecting(instance);
        server.accept();
        CPPUNIT_ASSERT(instance.runUntil([&] {
            return server.hasInput();
        }));
        server.answer();
        CPPUNIT_ASSERT(instance.runUntil([&] {
            return instance.status_.has_value();
        }));
        CPPUNIT_ASSERT_EQUAL(200U, *instance.status_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), withheld(instance, "leaving"));
    }

    // Guards against requests that reach a server after it has said that it leaves, because its connection took time.
    void serverThatSaysWhileItIsConnectedToThatItLeavesGetsNothing()
    {
        checkRequestGoesElsewhere("leaving", [](Instance &instance, const Server &server) {
            const TimePoint now = bootNow();
            instance.notices_->recordLeaving({server.id(), StartTime}, {LeavingReason::Announced, NoticeSource::Response, now, now, {}}, now);
        });
    }

    void serverWhoseEntrySaysWhileItIsConnectedToThatItLeavesGetsNothing()
    {
        checkRequestGoesElsewhere("leaving", [](Instance &instance, const Server &server) {
            instance.put("servers/" + server.id(), server.entry("draining"));
        });
    }

    void serverWhoseEntryIsRemovedWhileItIsConnectedToGetsNothing()
    {
        checkRequestGoesElsewhere("leaving", [](Instance &instance, const Server &server) {
            instance.remove("servers/" + server.id());
        });
    }

    void serverThatIsTakenOutWhileItIsConnectedToGetsNothing()
    {
        checkRequestGoesElsewhere("evacuated", [](Instance &instance, const Server &server) {
            instance.put("op/evacuate/" + server.domain(), "{}");
        });
    }

    void serverThatAsksForNoRequestsWhileItIsConnectedToGetsNothing()
    {
        checkRequestGoesElsewhere("held-back", [](Instance &instance, const Server &server) {
            instance.notices_->holdBack({server.id(), StartTime}, "edge-1", 5s, bootNow());
        });
    }

private:
    using Change = std::function<void(Instance &, const Server &)>;

    // Runs a request to where the connection to its server has begun.
    static Server &beginConnecting(Instance &instance)
    {
        instance.call();
        CPPUNIT_ASSERT(instance.runUntil([&] {
            return instance.connecting() != nullptr;
        }));
        return *instance.connecting();
    }

    // Makes the change while a server is being connected to, and checks that it gets not a byte and that the other serves the request.
    static void checkRequestGoesElsewhere(const std::string &verdict, const Change &change)
    {
        Instance instance;
        auto &first = beginConnecting(instance);
        first.accept();
        change(instance, first);
        CPPUNIT_ASSERT(instance.runUntil([&] {
            return first.hasInput() || instance.connecting() != nullptr;
        }));
        CPPUNIT_ASSERT_EQUAL(std::string(), first.receive());
        CPPUNIT_ASSERT(instance.runUntil([&] {
            return instance.connecting() != nullptr;
        }));
        auto &second = *instance.connecting();
        second.accept();
        CPPUNIT_ASSERT(instance.runUntil([&] {
            return second.hasInput();
        }));
        second.answer();
        CPPUNIT_ASSERT(instance.runUntil([&] {
            return instance.status_.has_value();
        }));
        CPPUNIT_ASSERT_EQUAL(200U, *instance.status_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), withheld(instance, verdict));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), instance.placement_.heldPlacementCount(first.id()));
    }

    static std::uint64_t withheld(const Instance &instance, const std::string &verdict)
    {
        return instance.metrics_.counter("goldcrestwall_requests_withheld_total", {{"service", "one"}, {"verdict", verdict}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestFlow);
