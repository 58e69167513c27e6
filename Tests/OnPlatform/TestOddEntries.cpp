// Tests of router processes beside entries that another writer left in the store.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

// The rest of an entry that lacks nothing.
const std::string Rest = R"(,"version":"v1","warmupLeftS":0,"sequence":1)";

} // namespace

class TestOddEntries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOddEntries);
    CPPUNIT_TEST(oddEntriesAmongServersAreNotUsed);
    CPPUNIT_TEST(unreadableItemsOfTheStoreDoNotStopTheWatch);
    CPPUNIT_TEST_SUITE_END();

public:
    void oddEntriesAmongServersAreNotUsed()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const std::string nested(100000, '[');
        const auto entry = [](const std::string &address, const std::string &end = Rest) {
            return R"({"service":"plain","address":")" + address + R"(","zone":"north","capacity":2,"state":"ready")" + end + "}";
        };
        // These would be sent requests if they were taken for entries of servers.
        const std::string address = deployment.plain(0).address();
        const std::vector<std::string> values{
            nested,
            nested + std::string(nested.size(), ']'),
            R"({"a":)" + nested,
            entry("127.0.0.1:99999"),
            entry("127.0.0.1:0"),
            entry("nowhere:1"),
            entry("127.0.0.1:80", R"(,"version":"v1","warmupLeftS":1e15,"sequence":1)"),
            entry("127.0.0.1:80", R"(,"version":"v1","warmupLeftS":1e999,"sequence":1)"),
            entry("127.0.0.1:80", Rest + R"(,"born":18446744073709551616)"),
            entry(address, ""),
            entry(address, R"(,"warmupLeftS":0,"sequence":1)"),
            entry(address, R"(,"version":"v1","sequence":1)"),
            entry(address, R"(,"version":"v1","warmupLeftS":0)"),
            entry(address, R"(,"version":1,"warmupLeftS":0,"sequence":1)"),
            std::string("\x00\xff\xfe", 3),
        };
        const Load load(deployment, {0, 1});
        for (std::size_t i = 0; i < values.size(); ++i) {
            deployment.store().put("servers/odd-" + std::to_string(i), values[i]);
        }
        std::this_thread::sleep_for(1500ms);
        // The instances still follow the store.
        deployment.plain(3).registerEntry("draining");
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.linesContaining("\"event\":\"server-leaving\"").size() == 2;
        }));
        CPPUNIT_ASSERT_EQUAL(2 * values.size(), deployment.linesContaining("\"event\":\"entry-unusable\"").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), deployment.linesContaining("\"event\":\"started\"").size());
        CPPUNIT_ASSERT(deployment.linesContaining("\"event\":\"unexpected-error\"").empty());
        const auto statuses = load.statuses();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), statuses.size());
        CPPUNIT_ASSERT_EQUAL(200, statuses.begin()->first);
    }

    void unreadableItemsOfTheStoreDoNotStopTheWatch()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.store().setFault(PlatformStoreFault::AddsUnreadableItem);
        deployment.plain(3).registerEntry("draining");
        CPPUNIT_ASSERT(Deployment::eventually(
            [&] {
                return deployment.linesContaining("\"event\":\"server-leaving\"").size() == 2;
            },
            4s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOddEntries);
