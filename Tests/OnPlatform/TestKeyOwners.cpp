// Tests of router processes and servers of a sharded service: each key has one holder at a time, whichever calls come late.
#include "Callers.h"
#include "OwnerWatch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

// Longer than any hold lasts.
constexpr Duration HoldBound = 4s;
constexpr auto CheckInterval = std::chrono::milliseconds(5);

bool isHeldByAnother(Deployment &deployment, std::uint32_t key)
{
    return deployment.sharded(1).holds(key) || deployment.sharded(2).holds(key) || deployment.sharded(3).holds(key);
}

// Lines that tell of keys of the first server.
std::vector<std::string> findLines(const Deployment &deployment, const std::string &event, const std::string &outcome)
{
    auto lines = deployment.linesContaining("\"event\":\"" + event + "\"");
    std::erase_if(lines, [&](const std::string &line) {
        return line.find("\"server\":\"s-0\"") == std::string::npos || line.find("\"outcome\":\"" + outcome + "\"") == std::string::npos;
    });
    return lines;
}

// Holds back what is on its way to the first server over open connections, until a grant is unanswered. Keys that move at this moment open another
// connection, over which the next grants would go.
void holdAGrantOfFirst(Deployment &deployment)
{
    CPPUNIT_ASSERT(Deployment::eventually([&] {
        deployment.shardedProxy(0).holdOpenConnections(ProxyDirection::ToTarget);
        return !findLines(deployment, "grant-failed", "unanswered").empty();
    }));
}

// Drains the first server, waits until it has released keys, and returns the lines of these releases.
std::vector<std::string> releaseKeysOfFirst(Deployment &deployment)
{
    // A key that is asked for more often than others may have moved before.
    const auto before = findLines(deployment, "keys-released", "accepted").size();
    deployment.sharded(0).registerEntry("draining");
    std::vector<std::string> lines;
    CPPUNIT_ASSERT(Deployment::eventually([&] {
        lines = findLines(deployment, "keys-released", "accepted");
        return lines.size() > before;
    }));
    lines.erase(lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(before));
    return lines;
}

// Checks all the time that the first server does not hold the key together with another one.
void checkOneHolder(Deployment &deployment, std::uint32_t key, Duration duration)
{
    for (const TimePoint end = monotonicNow() + duration; monotonicNow() < end;) {
        // The new holder is looked at first, as the key may change hands in between.
        const bool isHeldTwice = isHeldByAnother(deployment, key) && deployment.sharded(0).holds(key);
        CPPUNIT_ASSERT_MESSAGE("key " + std::to_string(key) + " is held twice", !isHeldTwice);
        std::this_thread::sleep_for(CheckInterval);
    }
}

// Sends a grant or a release to a server and returns the status of its response.
std::string sendShardCall(const PlatformServerStandIn &server, const std::string &name, int first, int last, int token)
{
    const std::string body = R"({"from":)" + std::to_string(first) + R"(,"to":)" + std::to_string(last) + R"(,"fence":)" + std::to_string(token)
        + (name == "grant" ? R"(,"holdS":4})" : "}");
    const std::string address = server.address();
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    const auto response = sendAndReceiveAll(port,
                                            "POST /-/" + name + " HTTP/1.1\r\nHost: " + address
                                                + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return response.substr(0, response.find("\r\n")).substr(9, 3);
}

} // namespace

class TestKeyOwners : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestKeyOwners);
    CPPUNIT_TEST(standInRefusesGrantsBelowTheTokensThatItHasSeen);
    CPPUNIT_TEST(standInRecordsTokensThatAreNotAboveThoseOfOthers);
    CPPUNIT_TEST(linesTellOfUnansweredGrants);
    CPPUNIT_TEST(renewalThatArrivesAfterTheReleaseBringsNoKeysBack);
    CPPUNIT_TEST(coordinatorsThatArePausedAndKilledLeaveOneHolder);
    CPPUNIT_TEST(coordinatorsThatAreCutOffOneWayLeaveOneHolder);
    CPPUNIT_TEST(grantsOfPausedCoordinatorsThatArriveLateLeaveOneHolder);
    CPPUNIT_TEST_SUITE_END();

public:
    // The published protocol: a server refuses a grant if it has seen a higher fencing token on one of its keys, and never refuses a release.
    void standInRefusesGrantsBelowTheTokensThatItHasSeen()
    {
        PlatformStoreStandIn store(0);
        PlatformRunRecorder recorder;
        PlatformServerStandIn server("s-0", PlatformServerBehaviour(), store, recorder);
        const auto grant = [&server](int first, int last, int token) {
            return sendShardCall(server, "grant", first, last, token);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("200"), grant(100, 199, 5));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), grant(100, 199, 5));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), sendShardCall(server, "release", 150, 159, 8));
        CPPUNIT_ASSERT(server.holds(149) && !server.holds(150) && !server.holds(159) && server.holds(160));
        // One of the keys is enough.
        CPPUNIT_ASSERT_EQUAL(std::string("409"), grant(100, 199, 5));
        CPPUNIT_ASSERT_EQUAL(std::string("409"), grant(159, 160, 7));
        CPPUNIT_ASSERT(!server.holds(155) && !server.holds(159));
        // Keys beside them have seen a lower token.
        CPPUNIT_ASSERT_EQUAL(std::string("200"), grant(100, 149, 5));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), grant(160, 199, 5));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), grant(0, 99, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), grant(150, 159, 8));
        CPPUNIT_ASSERT(server.holds(155));
        // A release with a lower token is not refused and lowers nothing.
        CPPUNIT_ASSERT_EQUAL(std::string("200"), sendShardCall(server, "release", 0, 65535, 2));
        CPPUNIT_ASSERT(!server.holds(155));
        CPPUNIT_ASSERT_EQUAL(std::string("409"), grant(155, 155, 7));
        CPPUNIT_ASSERT_EQUAL(std::string("409"), grant(65535, 65535, 1));
        server.restart();
        CPPUNIT_ASSERT_EQUAL(std::string("200"), grant(155, 155, 1));
    }

    // The published protocol: keys move to another server, or to another run of the same one, with a higher fencing token.
    void standInRecordsTokensThatAreNotAboveThoseOfOthers()
    {
        PlatformStoreStandIn store(0);
        PlatformRunRecorder recorder;
        PlatformServerStandIn first("s-0", PlatformServerBehaviour(), store, recorder);
        PlatformServerStandIn second("s-1", PlatformServerBehaviour(), store, recorder);
        const auto violationsAfter = [&recorder](PlatformServerStandIn &server, int begin, int end, int token) {
            CPPUNIT_ASSERT_EQUAL(std::string("200"), sendShardCall(server, "grant", begin, end, token));
            return recorder.violations().size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), violationsAfter(first, 100, 199, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), violationsAfter(second, 150, 299, 6));
        // The same grants once more, also a part of one.
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), violationsAfter(first, 100, 199, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), violationsAfter(first, 160, 169, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), violationsAfter(second, 0, 99, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), violationsAfter(second, 100, 149, 6));
        // One key is enough.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), violationsAfter(first, 299, 399, 6));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), violationsAfter(second, 350, 499, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), violationsAfter(first, 0, 399, 7));
        first.restart();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), violationsAfter(first, 0, 399, 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), violationsAfter(first, 0, 399, 8));
    }

    void linesTellOfUnansweredGrants()
    {
        Deployment deployment(1, DeploymentNetwork::Proxies);
        CPPUNIT_ASSERT(deployment.awaitServing());
        CPPUNIT_ASSERT(findLines(deployment, "keys-granted", "accepted").size() == 1);
        holdAGrantOfFirst(deployment);
        const auto releases = releaseKeysOfFirst(deployment);
        for (const auto &line : deployment.linesContaining("\"event\":\"grant-failed\"")) {
            for (const char *field : {"sentBeforeMs", "\"newConnection\":false", "\"connection\":", "countedForMs"}) {
                CPPUNIT_ASSERT_MESSAGE(line, line.find(field) != std::string::npos);
            }
        }
        for (const auto &line : releases) {
            for (const char *field : {"sentBeforeMs", "\"newConnection\":true", "\"unansweredGrants\":", "countedForMs"}) {
                CPPUNIT_ASSERT_MESSAGE(line, line.find(field) != std::string::npos);
            }
        }
    }

    // Guards against two holders: a renewal is held on its way for seconds, while the release that goes by another connection is answered, and
    // is delivered afterwards.
    void renewalThatArrivesAfterTheReleaseBringsNoKeysBack()
    {
        Deployment deployment(1, DeploymentNetwork::Proxies);
        CPPUNIT_ASSERT(deployment.awaitServing());
        holdAGrantOfFirst(deployment);
        const auto key = keyHeldBy(deployment, 0);
        releaseKeysOfFirst(deployment);
        // The renewal arrives shortly before the time until which an unanswered one is counted.
        checkOneHolder(deployment, key, 3s);
        const auto grantsBefore = deployment.sharded(0).grantCount();
        deployment.shardedProxy(0).resume();
        checkOneHolder(deployment, key, HoldBound);
        CPPUNIT_ASSERT(deployment.sharded(0).grantCount() > grantsBefore);
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, makeKeyed(key)).status_);
        checkNoViolations(deployment);
    }

    // Guards against two granters: one that was paused goes on while another has begun and moves keys.
    void coordinatorsThatArePausedAndKilledLeaveOneHolder()
    {
        checkTroubles({pauseCoordinator, killCoordinator, pauseCoordinator, killCoordinator, pauseCoordinator}, 5);
    }

    // Guards against two granters: one that no longer hears the store, or is no longer heard there, goes on while another has begun.
    void coordinatorsThatAreCutOffOneWayLeaveOneHolder()
    {
        // One that is still heard keeps its lease.
        checkTroubles({deafenCoordinator, muteCoordinator, deafenCoordinator, muteCoordinator}, 2);
    }

    // Guards against two holders: grants of a coordinator that is paused arrive after another one has moved the keys.
    void grantsOfPausedCoordinatorsThatArriveLateLeaveOneHolder()
    {
        checkTroubles({pauseCoordinatorWithLateGrants, pauseCoordinatorWithLateGrants, pauseCoordinatorWithLateGrants}, 3);
    }

private:
    // Disturbs the coordinator of the sharded service, calls `move`, and lets the coordinator go on.
    using Trouble = std::function<void(Deployment &, const std::function<void()> &move)>;

    // Long enough for another instance to take over and to move keys.
    static constexpr auto TroubleTime = std::chrono::milliseconds(3000);
    static constexpr auto TakeOverTime = std::chrono::milliseconds(1500);
    static constexpr auto RenewalInterval = std::chrono::milliseconds(800);

    static std::size_t coordinatorIndex(Deployment &deployment)
    {
        const RouterProcess *coordinator = nullptr;
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            coordinator = deployment.coordinator("sharded");
            return coordinator != nullptr && coordinator->isRunning();
        }));
        std::size_t index = 0;
        while (&deployment.instance(index) != coordinator) {
            ++index;
        }
        return index;
    }

    static void passTime(const std::function<void()> &move)
    {
        std::this_thread::sleep_for(TakeOverTime);
        move();
        std::this_thread::sleep_for(TroubleTime - TakeOverTime);
    }

    static void pauseCoordinator(Deployment &deployment, const std::function<void()> &move)
    {
        const auto &coordinator = deployment.instance(coordinatorIndex(deployment));
        coordinator.signal(SIGSTOP);
        passTime(move);
        coordinator.signal(SIGCONT);
    }

    static void pauseCoordinatorWithLateGrants(Deployment &deployment, const std::function<void()> &move)
    {
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.shardedProxy(i).holdOpenConnections(ProxyDirection::ToTarget);
        }
        // Until renewals have been sent and are held.
        std::this_thread::sleep_for(RenewalInterval);
        pauseCoordinator(deployment, move);
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.shardedProxy(i).resume();
        }
    }

    static void killCoordinator(Deployment &deployment, const std::function<void()> &move)
    {
        auto &coordinator = deployment.instance(coordinatorIndex(deployment));
        coordinator.signal(SIGKILL);
        coordinator.wait(5s);
        passTime(move);
        coordinator.start();
    }

    static void deafenCoordinator(Deployment &deployment, const std::function<void()> &move)
    {
        holdStoreOf(deployment, ProxyDirection::FromTarget, move);
    }

    static void muteCoordinator(Deployment &deployment, const std::function<void()> &move)
    {
        holdStoreOf(deployment, ProxyDirection::ToTarget, move);
    }

    static void holdStoreOf(Deployment &deployment, ProxyDirection direction, const std::function<void()> &move)
    {
        auto &proxy = deployment.storeProxy(coordinatorIndex(deployment));
        proxy.hold(direction);
        passTime(move);
        proxy.resume();
    }

    // Lets troubles follow each other under load. During each of them the keys of one server move. At least
    // `takeOvers` of them bring another granter.
    static void checkTroubles(const std::vector<Trouble> &troubles, std::size_t takeOvers)
    {
        Deployment deployment(4, DeploymentNetwork::Proxies);
        CPPUNIT_ASSERT(deployment.awaitServing());
        OwnerWatch watch(deployment);
        Load load(deployment, {0, 1, 2, 3});
        for (std::size_t i = 0; i < troubles.size(); ++i) {
            auto &server = deployment.sharded(i % 4);
            troubles[i](deployment, [&server] {
                server.registerEntry("draining");
            });
            std::this_thread::sleep_for(500ms);
            server.registerEntry();
        }
        CPPUNIT_ASSERT(deployment.awaitServing());
        load.stop();
        watch.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), watch.finding());
        const auto granters = deployment.linesContaining("\"event\":\"granter-started\"").size();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(granters) + " granters", granters > takeOvers);
        checkNoViolations(deployment);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestKeyOwners);
