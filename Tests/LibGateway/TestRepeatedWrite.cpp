// Tests what is known of a write after several attempts.
#include <LibGateway/LibGateway.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall::Gateway;
using Goldcrestwall::Platform::StoreOutcome;

class TestRepeatedWrite : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRepeatedWrite);
    CPPUNIT_TEST(oneAttemptIsSettledByItsOutcome);
    CPPUNIT_TEST(attemptWithoutEffectSettlesNoEarlierOne);
    CPPUNIT_TEST(laterEraSettlesAWriteInDoubt);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneAttemptIsSettledByItsOutcome()
    {
        for (const auto outcome : {StoreOutcome::Refused, StoreOutcome::Unreachable}) {
            CPPUNIT_ASSERT(RepeatedWrite().record(outcome) == WriteState::NotApplied);
        }
        for (const auto outcome : {StoreOutcome::Done, StoreOutcome::Conflict, StoreOutcome::NotFound, StoreOutcome::LeaseEnded, StoreOutcome::OtherEra}) {
            CPPUNIT_ASSERT(RepeatedWrite().record(outcome) == WriteState::Settled);
        }
        CPPUNIT_ASSERT(RepeatedWrite().record(StoreOutcome::Unknown) == WriteState::InDoubt);
    }

    // Guards against two granters: one takes back that it yields, since the store refused its second attempt, and the first was applied.
    void attemptWithoutEffectSettlesNoEarlierOne()
    {
        for (const auto outcome : {StoreOutcome::Refused, StoreOutcome::Unreachable, StoreOutcome::Unknown}) {
            RepeatedWrite write;
            write.record(StoreOutcome::Unknown);
            CPPUNIT_ASSERT(write.record(outcome) == WriteState::InDoubt);
            CPPUNIT_ASSERT(write.record(StoreOutcome::Conflict) == WriteState::Settled);
        }
    }

    // A write that was in doubt when the store came back from an older copy was meant for what is gone.
    void laterEraSettlesAWriteInDoubt()
    {
        RepeatedWrite write;
        write.record(StoreOutcome::Unknown);
        CPPUNIT_ASSERT(write.record(StoreOutcome::OtherEra) == WriteState::Settled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRepeatedWrite);
