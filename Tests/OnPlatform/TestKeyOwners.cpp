// Tests of router processes and servers of a sharded service: each key has one holder at a time, whichever calls come late.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

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

// Some key that the first server holds.
std::uint32_t findKeyOfFirst(Deployment &deployment)
{
    std::uint32_t key = 0;
    while (!deployment.sharded(0).holds(key)) {
        ++key;
    }
    return key;
}

std::size_t countLines(const Deployment &deployment, const std::string &event, const std::string &outcome)
{
    const auto lines = deployment.linesContaining("\"event\":\"" + event + "\"");
    return static_cast<std::size_t>(std::ranges::count_if(lines, [&](const std::string &line) {
        return line.find("\"server\":\"s-0\"") != std::string::npos && line.find("\"outcome\":\"" + outcome + "\"") != std::string::npos;
    }));
}

bool awaitLine(const Deployment &deployment, const std::string &event, const std::string &outcome)
{
    return Deployment::eventually([&] {
        return countLines(deployment, event, outcome) > 0;
    });
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
    CPPUNIT_TEST(linesTellOfUnansweredGrants);
    CPPUNIT_TEST(renewalThatArrivesAfterTheReleaseBringsNoKeysBack);
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

    void linesTellOfUnansweredGrants()
    {
        Deployment deployment(1, DeploymentNetwork::Proxies);
        CPPUNIT_ASSERT(deployment.awaitServing());
        CPPUNIT_ASSERT(countLines(deployment, "keys-granted", "accepted") == 1);
        deployment.shardedProxy(0).holdOpenConnections(ProxyDirection::ToTarget);
        CPPUNIT_ASSERT(awaitLine(deployment, "grant-failed", "unanswered"));
        deployment.sharded(0).registerEntry("draining");
        CPPUNIT_ASSERT(awaitLine(deployment, "keys-released", "accepted"));
        for (const auto &line : deployment.linesContaining("\"event\":\"grant-failed\"")) {
            for (const char *field : {"sentBeforeMs", "\"newConnection\":false", "\"connection\":", "countedForMs"}) {
                CPPUNIT_ASSERT_MESSAGE(line, line.find(field) != std::string::npos);
            }
        }
        for (const auto &line : deployment.linesContaining("\"event\":\"keys-released\"")) {
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
        const auto key = findKeyOfFirst(deployment);
        deployment.shardedProxy(0).holdOpenConnections(ProxyDirection::ToTarget);
        CPPUNIT_ASSERT(awaitLine(deployment, "grant-failed", "unanswered"));
        deployment.sharded(0).registerEntry("draining");
        CPPUNIT_ASSERT(awaitLine(deployment, "keys-released", "accepted"));
        // The renewal arrives shortly before the time until which an unanswered one is counted.
        checkOneHolder(deployment, key, 3s);
        const auto grantsBefore = deployment.sharded(0).grantCount();
        deployment.shardedProxy(0).resume();
        checkOneHolder(deployment, key, HoldBound);
        CPPUNIT_ASSERT(deployment.sharded(0).grantCount() > grantsBefore);
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, makeKeyed(key)).status_);
        checkNoViolations(deployment);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestKeyOwners);
