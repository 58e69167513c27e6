// Tests of router processes against stand-ins of the platform: faults of servers, store and instances, and planned changes.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <set>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

std::string extraRoute(const std::string &prefix)
{
    return R"({"resourceType":"routes","metadata":{"name":"r-extra"},"spec":{"host":"plain.example","prefix":")" + prefix
        + R"(","kind":"idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"plain","maxAttempts":2}},)";
}

// Returns some of the keys that a server holds.
std::vector<std::uint32_t> keysHeldBy(Deployment &deployment, std::size_t sharded)
{
    std::vector<std::uint32_t> keys;
    for (std::uint32_t key = 0; key < 65536; key += 4096) {
        if (deployment.sharded(sharded).holds(key)) {
            keys.push_back(key);
        }
    }
    return keys;
}

bool isWriteInDoubt(const Deployment &deployment)
{
    return std::ranges::any_of(deployment.linesContaining("\"assignment-written\""), [](const std::string &line) {
        return line.find("\"outcome\":\"unknown\"") != std::string::npos;
    });
}

} // namespace

class TestOnPlatform : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOnPlatform);
    CPPUNIT_TEST(everyInstanceServesEverything);
    CPPUNIT_TEST(holdTimesStayWithinConfiguredMaximum);
    CPPUNIT_TEST(requestsArriveUnchanged);
    CPPUNIT_TEST(unreadableRequestsAreAnsweredAndNotRun);
    CPPUNIT_TEST(serversFaultsAreToldTruthfully);
    CPPUNIT_TEST(lostCoordinatorLosesNoBooking);
    CPPUNIT_TEST(storeOutageIsSurvived);
    CPPUNIT_TEST(keysAreServedWhileAWriteIsInDoubt);
    CPPUNIT_TEST(keysMoveAtOnceAfterAWriteInDoubt);
    CPPUNIT_TEST(routeChangeBehindDeafWatchesTakesEffect);
    CPPUNIT_TEST(instanceWithoutStoreFollowsItsPeers);
    CPPUNIT_TEST(fewInstancesWatchTheStore);
    CPPUNIT_TEST(leavingServersGetNothing);
    CPPUNIT_TEST(plannedStopCutsNothing);
    CPPUNIT_TEST(callerDisconnectCancelsRequest);
    CPPUNIT_TEST(allProcessesAtOnce);
    CPPUNIT_TEST(settingsAreReloaded);
    CPPUNIT_TEST(failedRequestsAreExplained);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyInstanceServesEverything()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (std::size_t i = 0; i < 3; ++i) {
            const auto answer = deployment.call(i, CallerRequest());
            CPPUNIT_ASSERT_EQUAL(200, answer.status_);
            CPPUNIT_ASSERT(answer.isSigned_);
            CPPUNIT_ASSERT(answer.body_.find("ran /plain/x") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(200, deployment.call(i, makeBooking()).status_);
            CallerRequest unknown;
            unknown.path_ = "/nothing/";
            CPPUNIT_ASSERT_EQUAL(404, deployment.call(i, unknown).status_);
            CPPUNIT_ASSERT(deployment.instance(i).metrics().find("goldcrestwall_requests_total") != std::string::npos);
        }
        checkNoViolations(deployment);
    }

    void holdTimesStayWithinConfiguredMaximum()
    {
        Deployment deployment(1, 1500ms);
        CPPUNIT_ASSERT(deployment.awaitServing());
    }

    void requestsArriveUnchanged()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto request = makeBooking();
        request.path_ = "/book/a%20b/c?x=1&y=%2F";
        request.body_ = std::string(50000, 'z');
        const auto answer = deployment.call(0, request);
        CPPUNIT_ASSERT_EQUAL(200, answer.status_);
        for (const auto &run : deployment.recorder().runs()) {
            if (run.requestId_ == answer.requestId_) {
                CPPUNIT_ASSERT_EQUAL(std::string("POST"), run.method_);
                CPPUNIT_ASSERT_EQUAL(request.path_, run.path_);
                CPPUNIT_ASSERT(request.body_ == run.body_);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.recorder().runsOf(answer.requestId_));
    }

    void unreadableRequestsAreAnsweredAndNotRun()
    {
        Deployment deployment(1, 10s, TightMemoryMegabytes);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto before = deployment.recorder().runs().size();
        const std::string head = "GET /plain/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: bad\r\n";
        const std::string smuggled = "GET /plain/smuggled HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: in\r\n\r\n";
        const std::vector<std::pair<std::string, std::string>> cases{
            {"HTTP/1.1 400", "nonsense\r\n\r\n"},
            {"HTTP/1.1 400", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef"},
            {"HTTP/1.1 400", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled},
            {"HTTP/1.1 400", head + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled},
            {"HTTP/1.1 400", head + "Host: other.example\r\n\r\n"},
            {"HTTP/1.1 400", head + "Content-Length: -1\r\n\r\n"},
            {"HTTP/1.1 400", "GET /plain/x HTTP/1.1\r\nHost: plain.example\r\nConnection: close\r\n\r\n"},
            {"HTTP/1.1 431", head + "X-Long: " + std::string(9000, 'x') + "\r\n\r\n"},
            {"HTTP/1.1 413", head + "Content-Length: 100001\r\n\r\n"},
            // Requests may use 150,000 bytes, and each body is counted twice.
            {"HTTP/1.1 503", head + "Expect: 100-continue\r\nContent-Length: 90000\r\n\r\n"},
            {"HTTP/1.1 503", head + "Transfer-Encoding: chunked\r\n\r\n15f90\r\n" + std::string(90000, 'x') + "\r\n0\r\n\r\n"},
        };
        for (const auto &[status, bytes] : cases) {
            const auto received = sendAndReceiveAll(deployment.instance(0).callerPort(), bytes);
            CPPUNIT_ASSERT_MESSAGE(bytes.substr(0, 200) + " -> " + received, received.starts_with(status));
            CPPUNIT_ASSERT_MESSAGE(received, received.find("smuggled") == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(before, deployment.recorder().runs().size());
        // Two requests in one write are answered in order, and a chunked body may follow a 100 Continue response.
        const auto both = sendAndReceiveAll(deployment.instance(0).callerPort(),
                                            "GET /plain/one HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: b1\r\n\r\n"
                                            "POST /book/two HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: b2\r\nConnection: close\r\n"
                                            "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        const auto first = both.find("ran /plain/one");
        const auto second = both.find("ran /book/two");
        CPPUNIT_ASSERT_MESSAGE(both, first != std::string::npos && second != std::string::npos && first < second);
        CPPUNIT_ASSERT(both.find("HTTP/1.1 100") != std::string::npos);
    }

    void serversFaultsAreToldTruthfully()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        struct Case
        {
            PlatformServerFault fault_;
            // Expected status of an idempotent request and of a booking.
            int idempotent_;
            int booking_;
        };
        const std::vector<Case> cases{
            {PlatformServerFault::Sheds, 503, 503},
            {PlatformServerFault::LosesAnswers, 502, 502},
            {PlatformServerFault::Truncates, 502, 502},
            {PlatformServerFault::SendsMalformedBytes, 502, 502},
            {PlatformServerFault::SendsTwoResponses, 200, 200},
            {PlatformServerFault::SendsOtherResponseFirst, 200, 200},
            {PlatformServerFault::OmitsSignature, 502, 502},
            {PlatformServerFault::ClosesConnections, 200, 200},
        };
        for (const auto &each : cases) {
            for (std::size_t i = 0; i < 4; ++i) {
                deployment.plain(i).setFault(each.fault_);
            }
            const auto label = "fault " + std::to_string(static_cast<int>(each.fault_));
            std::vector<CallerAnswer> bookings;
            for (int i = 0; i < 5; ++i) {
                const auto answer = deployment.call(0, CallerRequest());
                // When all servers fail, an exhausted retry budget or the avoidance of failing servers may cause a 503 instead.
                const bool isAsExpected = answer.status_ == each.idempotent_ || (each.idempotent_ != 200 && answer.status_ == 503);
                CPPUNIT_ASSERT_MESSAGE(label + (isAsExpected ? "" : explain(deployment, answer)), isAsExpected);
                CPPUNIT_ASSERT(answer.status_ != 200 || (answer.isSigned_ && answer.body_.find("ran /plain/x") != std::string::npos));
                bookings.push_back(deployment.call(0, makeBooking()));
                const bool isBooked = bookings.back().status_ == each.booking_ || (each.booking_ != 200 && bookings.back().status_ == 503);
                CPPUNIT_ASSERT_MESSAGE(label + " booking" + (isBooked ? "" : explain(deployment, bookings.back())), isBooked);
            }
            checkBookings(deployment, bookings);
            for (std::size_t i = 0; i < 4; ++i) {
                deployment.plain(i).setFault(PlatformServerFault::None);
            }
            CPPUNIT_ASSERT_MESSAGE(label, deployment.awaitServing());
        }
        checkNoViolations(deployment);
    }

    void lostCoordinatorLosesNoBooking()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto *coordinator = deployment.coordinator("plain");
        CPPUNIT_ASSERT(coordinator != nullptr);
        std::vector<std::size_t> others;
        for (std::size_t i = 0; i < 3; ++i) {
            if (&deployment.instance(i) != coordinator) {
                others.push_back(i);
            }
        }
        Load load(deployment, others);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        coordinator->signal(SIGKILL);
        coordinator->wait(5s);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            auto *next = deployment.coordinator("plain");
            return next != nullptr && next != coordinator;
        }));
        CPPUNIT_ASSERT(deployment.awaitServing());
        load.stop();
        checkBookings(deployment, load.bookings());
        checkNoViolations(deployment);
        const auto statuses = load.statuses();
        std::size_t total = 0;
        for (const auto &[status, count] : statuses) {
            total += count;
        }
        // The remaining instances respond to every request.
        CPPUNIT_ASSERT(!statuses.contains(0));
        CPPUNIT_ASSERT(statuses.at(200) * 10 >= total * 8);
    }

    void storeOutageIsSurvived()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (const auto fault :
             {PlatformStoreFault::Down, PlatformStoreFault::Busy, PlatformStoreFault::Unresponsive, PlatformStoreFault::SendsInvalidStatus}) {
            deployment.store().setFault(fault);
            deployment.store().expireAllLeases();
            Load load(deployment, {0, 1, 2});
            std::this_thread::sleep_for(std::chrono::seconds(5));
            load.stop();
            checkBookings(deployment, load.bookings());
            const auto statuses = load.statuses();
            std::string counts = "statuses during the store outage:";
            for (const auto &[status, count] : statuses) {
                counts += " " + std::to_string(status) + "x" + std::to_string(count);
            }
            for (const auto &line : deployment.linesContaining("\"status\":503")) {
                counts += "\n" + line;
            }
            CPPUNIT_ASSERT_MESSAGE(counts, statuses.size() == 1 && statuses.contains(200));
            deployment.store().setFault(PlatformStoreFault::None);
            CPPUNIT_ASSERT(deployment.awaitServing());
        }
        deployment.putConfiguration(extraRoute("/late/"));
        CallerRequest late;
        late.path_ = "/late/";
        for (std::size_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.call(i, late).status_ == 200;
            }));
        }
        checkNoViolations(deployment);
    }

    // The store becomes unreachable while the outcome of an assignment write is unknown.
    void keysAreServedWhileAWriteIsInDoubt()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::vector<std::uint32_t> keys;
        for (std::uint32_t key = 0; key < 65536; key += 4096) {
            if (!deployment.sharded(0).holds(key)) {
                keys.push_back(key);
            }
        }
        deployment.store().setFault(PlatformStoreFault::LosesWriteAnswers);
        deployment.sharded(0).removeEntry();
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return isWriteInDoubt(deployment);
        }));
        deployment.store().setFault(PlatformStoreFault::Unresponsive);
        // Longer than a server holds keys without a renewal.
        std::this_thread::sleep_for(std::chrono::seconds(5));
        for (const auto key : keys) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("key " + std::to_string(key), 200, deployment.call(0, makeKeyed(key)).status_);
        }
        deployment.store().setFault(PlatformStoreFault::None);
        CPPUNIT_ASSERT(deployment.awaitServing());
        checkNoViolations(deployment);
    }

    // Guards against a granter that forgets, after a write in doubt, that nobody but itself has granted, and lets its own grants run out first.
    void keysMoveAtOnceAfterAWriteInDoubt()
    {
        // A server holds keys for 3.2 s without a renewal.
        constexpr auto MaxMoveTime = 3s;
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto keys = keysHeldBy(deployment, 0);
        CPPUNIT_ASSERT(!keys.empty());
        deployment.store().setFault(PlatformStoreFault::LosesWriteAnswers);
        deployment.sharded(0).registerEntry("draining");
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return isWriteInDoubt(deployment);
        }));
        deployment.store().setFault(PlatformStoreFault::None);
        const bool hasMoved = Deployment::eventually(
            [&] {
                return std::ranges::all_of(keys, [&](std::uint32_t key) {
                    return deployment.call(0, makeKeyed(key)).status_ == 200;
                });
            },
            MaxMoveTime);
        CPPUNIT_ASSERT(hasMoved);
        checkNoViolations(deployment);
    }

    // The store discards its history: open watches miss a change and are closed, and watches opened at that moment miss it too.
    void routeChangeBehindDeafWatchesTakesEffect()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::this_thread::sleep_for(std::chrono::seconds(1));
        deployment.store().suppressWatchEvents();
        deployment.putConfiguration(extraRoute("/hidden/"));
        deployment.store().abortWatches();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        deployment.store().discardHistory();
        CallerRequest hidden;
        hidden.path_ = "/hidden/";
        for (std::size_t i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(Deployment::eventually(
                [&] {
                    return deployment.call(i, hidden).status_ == 200;
                },
                4s));
        }
    }

    // Two services have at most two coordinators, and a failure domain without a coordinator has one watcher, so at most three of six
    // instances watch. When the watchers are suspended, the other instances watch the store themselves.
    void fewInstancesWatchTheStore()
    {
        Deployment deployment(6);
        CPPUNIT_ASSERT(deployment.awaitServing());
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.store().waitingWatches() <= 3;
        }));
        CallerRequest added;
        added.path_ = "/added/";
        deployment.putConfiguration(extraRoute("/added/"));
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.call(i, added).status_ == 200;
            }));
        }
        std::vector<std::size_t> followers;
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            const auto lines = deployment.instance(i).logLines();
            const auto left = std::ranges::count_if(lines, [](const std::string &line) {
                return line.find("store-watch-left-to-others") != std::string::npos;
            });
            const auto resumed = std::ranges::count_if(lines, [](const std::string &line) {
                return line.find("store-watch-resumed") != std::string::npos;
            });
            if (left > resumed) {
                followers.push_back(i);
            } else {
                deployment.instance(i).signal(SIGSTOP);
            }
        }
        CPPUNIT_ASSERT(followers.size() >= 3);
        deployment.putConfiguration(extraRoute("/added-later/"));
        added.path_ = "/added-later/";
        for (const auto follower : followers) {
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.call(follower, added).status_ == 200;
            }));
        }
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            deployment.instance(i).signal(SIGCONT);
        }
    }

    void instanceWithoutStoreFollowsItsPeers()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        // The instance never reaches the store: its settings have an address where nothing listens.
        const std::filesystem::path folder = std::filesystem::temp_directory_path();
        RouterProcess isolated("edge-lonely", "north", "127.0.0.1:1", folder, {deployment.instance(0).peerAddress(), deployment.instance(1).peerAddress()});
        isolated.start();
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            const auto received = sendAndReceiveAll(
                isolated.callerPort(), "GET /plain/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: l1\r\nConnection: close\r\n\r\n");
            return received.starts_with("HTTP/1.1 200");
        }));
        deployment.putConfiguration(extraRoute("/relayed/"));
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            const auto received = sendAndReceiveAll(
                isolated.callerPort(), "GET /relayed/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: l2\r\nConnection: close\r\n\r\n");
            return received.starts_with("HTTP/1.1 200");
        }));
        isolated.signal(SIGTERM);
        CPPUNIT_ASSERT(isolated.wait(10s) == std::optional<int>(0));
        std::filesystem::remove(folder / "edge-lonely.toml");
        std::filesystem::remove(folder / "edge-lonely.log");
    }

    void leavingServersGetNothing()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Load load(deployment, {0, 1});
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        deployment.plain(0).registerEntry("draining");
        deployment.sharded(0).registerEntry("draining");
        deployment.plain(1).removeEntry();
        deployment.store().put("op/evacuate/south", "{}");
        // Required limits: 2 s after the acknowledgement for servers that leave, 5 s for a failure domain.
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const auto isLeaving = [](const PlatformRun &run) {
            return run.server_ == "p-0" || run.server_ == "s-0" || run.server_ == "p-1";
        };
        const auto isSouthern = [](const PlatformRun &run) {
            return run.server_.back() == '1' || run.server_.back() == '3';
        };
        const auto before = deployment.recorder().runs();
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const auto between = deployment.recorder().runs();
        CPPUNIT_ASSERT_EQUAL(std::ranges::count_if(before, isLeaving), std::ranges::count_if(between, isLeaving));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        load.stop();
        const auto after = deployment.recorder().runs();
        CPPUNIT_ASSERT_EQUAL(std::ranges::count_if(between, isSouthern), std::ranges::count_if(after, isSouthern));
        deployment.store().remove("op/evacuate/south");
        CPPUNIT_ASSERT(deployment.awaitServing());
        checkBookings(deployment, load.bookings());
        checkNoViolations(deployment);
    }

    void plannedStopCutsNothing()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto *coordinator = deployment.coordinator("sharded");
        CPPUNIT_ASSERT(coordinator != nullptr);
        std::size_t stopped = 0;
        while (&deployment.instance(stopped) != coordinator) {
            ++stopped;
        }
        Load load(deployment, {0, 1, 2});
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        coordinator->signal(SIGTERM);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return !coordinator->isReady();
        }));
        // The platform needs two readiness checks a second apart to notice, so callers still connect until then.
        for (int i = 0; i < 20; ++i) {
            const auto answer = deployment.call(stopped, CallerRequest());
            CPPUNIT_ASSERT_EQUAL(200, answer.status_);
            CPPUNIT_ASSERT(answer.isConnectionClosed_);
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        load.stop();
        CPPUNIT_ASSERT(coordinator->wait(8s) == std::optional<int>(0));
        checkBookings(deployment, load.bookings());
        checkNoViolations(deployment);
        const auto statuses = load.statuses();
        CPPUNIT_ASSERT(!statuses.contains(0));
        CPPUNIT_ASSERT(!statuses.contains(502));
        CPPUNIT_ASSERT(deployment.awaitServing());
    }

    void callerDisconnectCancelsRequest()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.plain(i).setFault(PlatformServerFault::Unresponsive);
        }
        {
            Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", deployment.instance(0).callerPort()));
            const std::string bytes =
                "GET /plain/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: gone\r\nGoldcrestwall-Request-Deadline: 2000\r\n\r\n";
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.recorder().runsOf("gone") == 1;
            }));
        }
        CPPUNIT_ASSERT(Deployment::eventually(
            [&] {
                const auto lines = deployment.linesForRequest("gone");
                return std::ranges::any_of(lines, [](const std::string &line) {
                    return line.find("caller-left") != std::string::npos;
                });
            },
            1500ms));
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.plain(i).setFault(PlatformServerFault::None);
        }
    }

    void allProcessesAtOnce()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.putConfiguration(extraRoute("/last/"));
        for (std::size_t i = 0; i < 3; ++i) {
            deployment.instance(i).signal(SIGKILL);
        }
        for (std::size_t i = 0; i < 3; ++i) {
            deployment.instance(i).wait(5s);
            deployment.instance(i).start();
        }
        CPPUNIT_ASSERT(deployment.awaitServing());
        CallerRequest last;
        last.path_ = "/last/";
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, last).status_);
        checkNoViolations(deployment);
    }

    void settingsAreReloaded()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Load load(deployment, {0});
        deployment.instance(0).signal(SIGHUP);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            const auto lines = deployment.instance(0).logLines();
            return std::ranges::any_of(lines, [](const std::string &line) {
                return line.find("settings-reloaded") != std::string::npos;
            });
        }));
        load.stop();
        const auto statuses = load.statuses();
        CPPUNIT_ASSERT(statuses.size() == 1 && statuses.contains(200));
    }

    // Follows docs/OPERATIONS.md: finds the cause of a failed request by its id from the log lines alone.
    void failedRequestsAreExplained()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto reasonOf = [&deployment](const std::string &requestId, const std::string &event) {
            std::string found;
            Deployment::eventually([&] {
                for (const auto &line : deployment.linesForRequest(requestId)) {
                    if (line.find("\"event\":\"" + event + "\"") != std::string::npos) {
                        found = line;
                    }
                }
                return !found.empty();
            });
            return found;
        };
        // 1. Rejected under load: the last log line has the reason and which coordinator decided.
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.plain(i).setFault(PlatformServerFault::Unresponsive);
        }
        std::vector<std::thread> callers;
        std::mutex mutex;
        std::vector<CallerAnswer> answers;
        for (int i = 0; i < 30; ++i) {
            callers.emplace_back([&] {
                CallerRequest request;
                request.callerTimeout_ = 400ms;
                const auto answer = deployment.call(0, request);
                const std::lock_guard lock(mutex);
                answers.push_back(answer);
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
        const auto rejected = std::ranges::find(answers, 503, &CallerAnswer::status_);
        CPPUNIT_ASSERT(rejected != answers.end());
        CPPUNIT_ASSERT(rejected->hasRetryAfter_);
        const auto overload = reasonOf(rejected->requestId_, "request");
        CPPUNIT_ASSERT_MESSAGE(overload, overload.find("\"reason\":\"overload\"") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(overload, overload.find("\"placedBy\":") != std::string::npos);
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.plain(i).setFault(PlatformServerFault::None);
        }
        CPPUNIT_ASSERT(deployment.awaitServing());
        // 2. A 502 after a lost response: the log line of the failed attempt has the server.
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.plain(i).setFault(PlatformServerFault::LosesAnswers);
        }
        const auto lost = deployment.call(1, makeBooking());
        CPPUNIT_ASSERT_EQUAL(502, lost.status_);
        const auto attempt = reasonOf(lost.requestId_, "attempt-failed");
        CPPUNIT_ASSERT_MESSAGE(attempt, attempt.find("\"outcome\":\"lost\"") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(attempt, attempt.find("\"server\":\"p-") != std::string::npos);
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.plain(i).setFault(PlatformServerFault::None);
        }
        // 3. A 503 for a key whose server was restarted: the request's log line has the reason.
        std::size_t index = 0;
        CallerAnswer misdirected;
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            // The granter's next renewal grants the keys to the server again: the request must be sent before it.
            index = 0;
            while (index < 4 && !deployment.sharded(index).holds(100)) {
                ++index;
            }
            if (index == 4) {
                return false;
            }
            deployment.sharded(index).restart();
            misdirected = deployment.call(0, makeKeyed(100));
            return misdirected.status_ != 200;
        }));
        CPPUNIT_ASSERT_EQUAL(503, misdirected.status_);
        const auto moved = reasonOf(misdirected.requestId_, "request");
        CPPUNIT_ASSERT_MESSAGE(moved,
                               moved.find("\"reason\":\"misdirected\"") != std::string::npos || moved.find("\"reason\":\"no-owner\"") != std::string::npos);
        deployment.sharded(index).registerEntry();
        CPPUNIT_ASSERT(deployment.awaitServing());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOnPlatform);
