// Tests of router processes and servers of a sharded service: each key has one holder at a time, whichever calls come late.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

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

} // namespace

class TestKeyOwners : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestKeyOwners);
    CPPUNIT_TEST(linesTellOfUnansweredGrants);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestKeyOwners);
