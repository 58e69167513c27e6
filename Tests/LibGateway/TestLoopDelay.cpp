// Tests of the estimate of the event loop's delay.
#include <LibGateway/LibGateway.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

class TestLoopDelay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLoopDelay);
    CPPUNIT_TEST(delayIsThatOfTheLastTimer);
    CPPUNIT_TEST(overdueTimerCountsBeforeItFires);
    CPPUNIT_TEST(firstFiringWithoutAnExpectationHasNoDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    void delayIsThatOfTheLastTimer()
    {
        const TimePoint start(std::chrono::hours(1));
        LoopDelayMeter meter;
        CPPUNIT_ASSERT(meter.delay(start) == Duration::zero());
        meter.expect(start + 50ms);
        meter.record(start + 130ms);
        meter.expect(start + 180ms);
        CPPUNIT_ASSERT(meter.delay(start + 140ms) == 80ms);
        meter.record(start + 180ms);
        meter.expect(start + 230ms);
        CPPUNIT_ASSERT(meter.delay(start + 185ms) == Duration::zero());
    }

    // Guards against an instance that takes its first requests to be as old as the system.
    void firstFiringWithoutAnExpectationHasNoDelay()
    {
        const TimePoint start(std::chrono::hours(1));
        LoopDelayMeter meter;
        meter.record(start);
        CPPUNIT_ASSERT(meter.delay(start) == Duration::zero());
        meter.expect(start + 50ms);
        CPPUNIT_ASSERT(meter.delay(start + 1ms) == Duration::zero());
    }

    void overdueTimerCountsBeforeItFires()
    {
        const TimePoint start(std::chrono::hours(1));
        LoopDelayMeter meter;
        meter.expect(start + 50ms);
        CPPUNIT_ASSERT(meter.delay(start + 550ms) == 500ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLoopDelay);
