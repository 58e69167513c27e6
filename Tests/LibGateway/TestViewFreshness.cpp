// Tests of the age of the view and of when a watch is given up.
#include <LibGateway/ViewFreshness.h>

#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr TimePoint Start = TimePoint(100s);

} // namespace

class TestViewFreshness : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewFreshness);
    CPPUNIT_TEST(viewIsUnconfirmedAtFirst);
    CPPUNIT_TEST(ageCountsFromTheProof);
    CPPUNIT_TEST(earlierProofChangesNothing);
    CPPUNIT_TEST(proofOfALaterRevisionCountsOnceTheViewHasIt);
    CPPUNIT_TEST(proofsThatWaitAreBounded);
    CPPUNIT_TEST(nothingCountsAfterAReset);
    CPPUNIT_TEST(watchIsStaleIfItDoesNotReportAnExpectedRevision);
    CPPUNIT_TEST(laterWatchGetsItsTime);
    CPPUNIT_TEST(storeIsNotAskedWhileTheViewIsConfirmedOtherwise);
    CPPUNIT_TEST(proofOfAnEarlierEraConfirmsNothing);
    CPPUNIT_TEST(proofsThatWaitAreOfTheirEra);
    CPPUNIT_TEST_SUITE_END();

public:
    void viewIsUnconfirmedAtFirst()
    {
        const ViewFreshness freshness;
        CPPUNIT_ASSERT(!freshness.isConfirmed(Start));
        CPPUNIT_ASSERT(!freshness.age(Start));
        // Also right after the system has started.
        CPPUNIT_ASSERT(!freshness.isConfirmed(TimePoint(1s)));
    }

    void ageCountsFromTheProof()
    {
        ViewFreshness freshness;
        freshness.recordProof(atRevision(7), Start, atRevision(7));
        CPPUNIT_ASSERT(freshness.age(Start + 1s) == Duration(1s));
        CPPUNIT_ASSERT(freshness.isConfirmed(Start + MaxViewAge - 1ms));
        CPPUNIT_ASSERT(!freshness.isConfirmed(Start + MaxViewAge));
    }

    void earlierProofChangesNothing()
    {
        ViewFreshness freshness;
        freshness.recordProof(atRevision(7), Start, atRevision(7));
        freshness.recordProof(atRevision(7), Start - 1s, atRevision(7));
        CPPUNIT_ASSERT(freshness.confirmedAt() == Start);
    }

    void proofOfALaterRevisionCountsOnceTheViewHasIt()
    {
        ViewFreshness freshness;
        freshness.recordProof(atRevision(7), Start, atRevision(7));
        freshness.recordProof(atRevision(9), Start + 1s, atRevision(7));
        freshness.recordView(atRevision(8));
        CPPUNIT_ASSERT(freshness.confirmedAt() == Start);
        freshness.recordView(atRevision(9));
        CPPUNIT_ASSERT(freshness.confirmedAt() == Start + 1s);
    }

    void proofsThatWaitAreBounded()
    {
        ViewFreshness freshness;
        for (std::uint64_t revision = 10; revision < 1000; ++revision) {
            freshness.recordProof(atRevision(revision), Start + Duration(revision), atRevision(7));
        }
        freshness.recordView(atRevision(10));
        CPPUNIT_ASSERT(freshness.confirmedAt() == Start + Duration(10));
        freshness.recordView(atRevision(1000));
        CPPUNIT_ASSERT(freshness.confirmedAt() < Start + Duration(100));
    }

    void nothingCountsAfterAReset()
    {
        ViewFreshness freshness;
        freshness.recordProof(atRevision(7), Start, atRevision(7));
        freshness.recordProof(atRevision(9), Start, atRevision(7));
        freshness.reset();
        freshness.recordView(atRevision(9));
        CPPUNIT_ASSERT(!freshness.isConfirmed(Start));
    }

    void watchIsStaleIfItDoesNotReportAnExpectedRevision()
    {
        ViewFreshness freshness;
        freshness.expect(atRevision(7), atRevision(7), Start);
        CPPUNIT_ASSERT(!freshness.isWatchStale(Start, atRevision(7), Start + 1min));
        freshness.expect(atRevision(9), atRevision(7), Start);
        // What is expected since is not due earlier.
        freshness.expect(atRevision(12), atRevision(7), Start + 100ms);
        CPPUNIT_ASSERT(!freshness.isWatchStale(Start - 1s, atRevision(7), Start + StaleWatchTimeout - 1ms));
        CPPUNIT_ASSERT(freshness.isWatchStale(Start - 1s, atRevision(7), Start + StaleWatchTimeout));
        CPPUNIT_ASSERT(!freshness.isWatchStale(Start - 1s, atRevision(9), Start + StaleWatchTimeout));
    }

    // Guards against complete reads of a store whose responses come late while it changes all the time.
    void laterWatchGetsItsTime()
    {
        ViewFreshness freshness;
        freshness.expect(atRevision(9), atRevision(7), Start);
        const TimePoint sentAt = Start + 500ms;
        CPPUNIT_ASSERT(!freshness.isWatchStale(sentAt, atRevision(8), sentAt + StaleWatchTimeout - 1ms));
        CPPUNIT_ASSERT(freshness.isWatchStale(sentAt, atRevision(8), sentAt + StaleWatchTimeout));
    }

    void storeIsNotAskedWhileTheViewIsConfirmedOtherwise()
    {
        ViewFreshness freshness;
        freshness.recordProof(atRevision(7), Start, atRevision(7));
        CPPUNIT_ASSERT(freshness.checkDueAt(TimePoint()) == Start + PositionCheckInterval);
        // A response that did not confirm the view is not asked for again at once either.
        CPPUNIT_ASSERT(freshness.checkDueAt(Start + 100ms) == Start + 100ms + PositionCheckInterval);
        freshness.recordProof(atRevision(7), Start + 200ms, atRevision(7));
        CPPUNIT_ASSERT(freshness.checkDueAt(Start + 100ms) == Start + 200ms + PositionCheckInterval);
    }

    void proofOfAnEarlierEraConfirmsNothing()
    {
        ViewFreshness freshness;
        freshness.recordProof({1, 99}, Start, {2, 5});
        CPPUNIT_ASSERT(!freshness.isConfirmed(Start));
        freshness.recordProof({2, 5}, Start, {2, 5});
        CPPUNIT_ASSERT(freshness.isConfirmed(Start));
    }

    void proofsThatWaitAreOfTheirEra()
    {
        ViewFreshness freshness;
        freshness.recordProof({1, 50}, Start + 1s, {1, 40});
        freshness.recordProof({2, 8}, Start, {1, 40});
        freshness.recordView({2, 7});
        CPPUNIT_ASSERT(!freshness.isConfirmed(Start + 1s));
        freshness.recordView({2, 8});
        CPPUNIT_ASSERT(freshness.confirmedAt() == Start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewFreshness);
