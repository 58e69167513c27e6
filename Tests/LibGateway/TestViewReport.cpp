// Tests of the log lines about what the view reads from the store.
#include <LibGateway/LibGateway.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

TimePoint at(Duration duration)
{
    return TimePoint(std::chrono::hours(1)) + duration;
}

} // namespace

class TestViewReport : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewReport);
    CPPUNIT_TEST(problemOfAnEntryIsLoggedOnce);
    CPPUNIT_TEST(entryProblemsTakeBoundedMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry of another writer that fills the log with every heartbeat.
    void problemOfAnEntryIsLoggedOnce()
    {
        EntryProblemLog log;
        CPPUNIT_ASSERT(log.isDue("servers/i-1", "field 'zone' is missing", at(0s)));
        CPPUNIT_ASSERT(!log.isDue("servers/i-1", "field 'zone' is missing", at(59s)));
        CPPUNIT_ASSERT(log.isDue("servers/i-2", "field 'zone' is missing", at(59s)));
        CPPUNIT_ASSERT(log.isDue("servers/i-1", "field 'state' is missing", at(59s)));
        CPPUNIT_ASSERT(!log.isDue("servers/i-1", "field 'state' is missing", at(118s)));
        CPPUNIT_ASSERT(log.isDue("servers/i-1", "field 'state' is missing", at(119s)));
    }

    void entryProblemsTakeBoundedMemory()
    {
        EntryProblemLog log;
        CPPUNIT_ASSERT(log.isDue("servers/first", "reason", at(0s)));
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(log.isDue("servers/i-" + std::to_string(i), "reason", at(1s)));
        }
        CPPUNIT_ASSERT(log.isDue("servers/first", "reason", at(2s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewReport);
