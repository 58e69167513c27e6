// Tests of the rate limits of log lines.
#include <LibGateway/LibGateway.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

class TestEventLog : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEventLog);
    CPPUNIT_TEST(requestsDoNotDisplaceChangesOfState);
    CPPUNIT_TEST(eachKindOfLineIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an overloaded instance whose log does not tell when a configuration came into force there.
    void requestsDoNotDisplaceChangesOfState()
    {
        const TimePoint start(std::chrono::hours(1));
        EventLog log("edge-1");
        write(log, LogImportance::Kept, 10000, start);
        write(log, LogImportance::Sampled, 10000, start);
        const auto before = log.pendingBytes();
        write(log, LogImportance::State, 1, start);
        CPPUNIT_ASSERT(log.pendingBytes() > before);
    }

    void eachKindOfLineIsBounded()
    {
        const TimePoint start(std::chrono::hours(1));
        for (const auto importance : {LogImportance::Sampled, LogImportance::Kept, LogImportance::State}) {
            EventLog log("edge-1");
            write(log, importance, 10000, start);
            CPPUNIT_ASSERT(log.droppedCount() > 9000);
            const auto before = log.pendingBytes();
            write(log, importance, 1, start + 999ms);
            CPPUNIT_ASSERT_EQUAL(before, log.pendingBytes());
            write(log, importance, 1, start + 1s);
            CPPUNIT_ASSERT(log.pendingBytes() > before);
        }
    }

private:
    static void write(EventLog &log, LogImportance importance, int count, TimePoint now)
    {
        for (int i = 0; i < count; ++i) {
            log.write(LogLine("event"), importance, now);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEventLog);
