// Tests of the promises during short series of faults with fixed seeds.
#include "SoakRun.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Soak;

class TestSoak : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSoak);
    CPPUNIT_TEST(promisesHoldInSeries2);
    CPPUNIT_TEST(promisesHoldInSeries4);
    CPPUNIT_TEST(promisesHoldInSeries101);
    CPPUNIT_TEST_SUITE_END();

public:
    void promisesHoldInSeries2()
    {
        checkSeries(2);
    }

    void promisesHoldInSeries4()
    {
        checkSeries(4);
    }

    void promisesHoldInSeries101()
    {
        checkSeries(101);
    }

private:
    static void checkSeries(std::uint64_t seed)
    {
        SoakSettings settings;
        settings.seed_ = seed;
        const auto report = runSoak(settings);
        CPPUNIT_ASSERT_MESSAGE(report.text_, report.findings_ == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSoak);
