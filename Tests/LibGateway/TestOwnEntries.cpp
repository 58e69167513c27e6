// Tests of the coordinators and assignments that the view knows when the store comes back from an older copy of its content.
#include <LibGateway/LibGateway.h>

#include <Tests/LibGateway/StoreEntries.h>
#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;
using Platform::StoreEvent;
using Platform::StoreItem;

namespace {

constexpr StoreEra Before = 4;
constexpr StoreEra After = 5;
constexpr TimePoint Now = TimePoint(std::chrono::hours(1));

std::string coordinatorText(const std::string &name, StoreEra era, std::uint64_t lease)
{
    CoordinatorEntry coordinator;
    coordinator.member_ = {name, "7", "10.0.0.1:1", "north", 200, era};
    coordinator.lease_ = {era, lease};
    return encodeCoordinator(coordinator);
}

ShardAssignment makeAssignment(const std::string &granter, StoreEra era, FencingToken token)
{
    ShardAssignment assignment;
    assignment.era_ = era;
    assignment.granter_.instance_ = granter;
    assignment.ranges_ = {{0, static_cast<ShardKey>(ShardKeyCount - 1), {"s0", 1, token}, {}}};
    assignment.nextToken_ = token + 1;
    return assignment;
}

StoreItem coordinatorItem(const std::string &name, StoreEra era, StoreVersion version, std::uint64_t lease = 3)
{
    return {coordinatorKey("one"), coordinatorText(name, era, lease), version, {}};
}

StoreItem assignmentItem(const std::string &granter, StoreEra era, FencingToken token, StoreVersion version)
{
    return {assignmentKey("one"), encodeAssignment(makeAssignment(granter, era, token)), version, {}};
}

} // namespace

class TestOwnEntries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOwnEntries);
    CPPUNIT_TEST(entriesThatTheCopyLacksAreKept);
    CPPUNIT_TEST(olderEntriesOfTheCopyReplaceNothing);
    CPPUNIT_TEST(entryOfAnEarlierEraIsNotStoredInThisOne);
    CPPUNIT_TEST(leaseOfAnEarlierEraIsNotOneOfThisEra);
    CPPUNIT_TEST(claimOfTheEraReplacesTheKeptEntry);
    CPPUNIT_TEST(endOfALeaseThatTheCopyBroughtBackEndsNothing);
    CPPUNIT_TEST(lateWriteOfAnEarlierEraIsNotTakenForTheLast);
    CPPUNIT_TEST(newerEntryOfTheCopyIsTaken);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against services without a coordinator, and requests without a placement, until someone has claimed them again.
    void entriesThatTheCopyLacksAreKept()
    {
        view_.replace({coordinatorItem("b", Before, {Before, 20}), assignmentItem("b", Before, 9, {Before, 21})}, {Before, 30}, Now);
        view_.replace({}, {After, 10}, Now);
        CPPUNIT_ASSERT(view_.coordinator("one") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), view_.coordinator("one")->member_.name_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 0), view_.coordinator("one")->version_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(Before, 20), view_.coordinator("one")->writtenAt_);
        CPPUNIT_ASSERT(!view_.coordinator("one")->isStored());
        CPPUNIT_ASSERT(view_.assignment("one") != nullptr);
        CPPUNIT_ASSERT(view_.assignment("one")->assignment_ == makeAssignment("b", Before, 9));
        CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 0), view_.assignment("one")->version_);
        CPPUNIT_ASSERT(!view_.assignment("one")->isStored_);
        CPPUNIT_ASSERT(view_.hasKnownEarlierEra());
    }

    // Guards against a coordinator, and holders, of before the last ones.
    void olderEntriesOfTheCopyReplaceNothing()
    {
        view_.replace({coordinatorItem("b", Before, {Before, 20}), assignmentItem("b", Before, 9, {Before, 21})}, {Before, 30}, Now);
        view_.replace({coordinatorItem("a", Before, {After, 8}), assignmentItem("a", Before, 5, {After, 9})}, {After, 10}, Now);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), view_.coordinator("one")->member_.name_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 8), view_.coordinator("one")->version_);
        CPPUNIT_ASSERT(!view_.coordinator("one")->isStored());
        CPPUNIT_ASSERT(view_.assignment("one")->assignment_ == makeAssignment("b", Before, 9));
        CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 9), view_.assignment("one")->version_);
    }

    // Guards against grants on an entry that only the copy has brought back, also by an instance that starts in the era.
    void entryOfAnEarlierEraIsNotStoredInThisOne()
    {
        view_.replace({coordinatorItem("a", Before, {After, 8}), assignmentItem("a", Before, 5, {After, 9})}, {After, 10}, Now);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), view_.coordinator("one")->member_.name_);
        CPPUNIT_ASSERT(!view_.coordinator("one")->isStored());
        CPPUNIT_ASSERT_EQUAL(StoreEra(Before), view_.assignment("one")->assignment_.era_);
        CPPUNIT_ASSERT(view_.assignment("one")->isStored_);
        CPPUNIT_ASSERT(!view_.hasKnownEarlierEra());
    }

    // Guards against an instance that takes its new lease for that of its lost entry, because the number was given out again.
    void leaseOfAnEarlierEraIsNotOneOfThisEra()
    {
        view_.replace({coordinatorItem("a", Before, {After, 8}, 3)}, {After, 10}, Now);
        CPPUNIT_ASSERT(view_.coordinator("one")->lease_ == StoreLeaseId(Before, 3));
        view_.apply({{coordinatorItem("a", After, {After, 11}, 3), false}}, {After, 11}, Now);
        CPPUNIT_ASSERT(view_.coordinator("one")->lease_ == StoreLeaseId(After, 3));
    }

    void claimOfTheEraReplacesTheKeptEntry()
    {
        view_.replace({coordinatorItem("b", Before, {Before, 20}), assignmentItem("b", Before, 9, {Before, 21})}, {Before, 30}, Now);
        view_.replace({}, {After, 10}, Now);
        view_.apply(
            {{coordinatorItem("c", After, {After, 11}), false}, {assignmentItem("c", After, lowestToken(After), {After, 12}), false}}, {After, 12}, Now);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), view_.coordinator("one")->member_.name_);
        CPPUNIT_ASSERT(view_.coordinator("one")->isStored());
        CPPUNIT_ASSERT_EQUAL(StoreEra(After), view_.assignment("one")->assignment_.era_);
        view_.apply({{{coordinatorKey("one"), {}, {After, 13}, {}}, true}}, {After, 13}, Now);
        CPPUNIT_ASSERT(view_.coordinator("one") == nullptr);
    }

    void endOfALeaseThatTheCopyBroughtBackEndsNothing()
    {
        view_.replace({coordinatorItem("b", Before, {Before, 20})}, {Before, 30}, Now);
        view_.replace({coordinatorItem("a", Before, {After, 8})}, {After, 10}, Now);
        view_.apply({{{coordinatorKey("one"), {}, {After, 11}, {}}, true}}, {After, 11}, Now);
        CPPUNIT_ASSERT(view_.coordinator("one") != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), view_.coordinator("one")->member_.name_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 0), view_.coordinator("one")->version_);
    }

    // Guards against holders of before the last ones, when a write whose response was lost meets its condition by revisions that were given out again.
    void lateWriteOfAnEarlierEraIsNotTakenForTheLast()
    {
        view_.replace({}, {After, 10}, Now);
        view_.apply(
            {{coordinatorItem("c", After, {After, 11}), false}, {assignmentItem("c", After, lowestToken(After), {After, 12}), false}}, {After, 12}, Now);
        view_.apply({{assignmentItem("a", Before, 9, {After, 13}), false}, {coordinatorItem("a", Before, {After, 14}), false}}, {After, 14}, Now);
        CPPUNIT_ASSERT(view_.assignment("one")->assignment_ == makeAssignment("c", After, lowestToken(After)));
        CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 13), view_.assignment("one")->version_);
        CPPUNIT_ASSERT(!view_.assignment("one")->isStored_);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), view_.coordinator("one")->member_.name_);
        CPPUNIT_ASSERT(!view_.coordinator("one")->isStored());
    }

    // A view that was behind the copy.
    void newerEntryOfTheCopyIsTaken()
    {
        view_.replace({coordinatorItem("a", Before, {Before, 8}), assignmentItem("a", Before, 5, {Before, 9})}, {Before, 10}, Now);
        view_.replace({coordinatorItem("b", Before, {After, 20}), assignmentItem("b", Before, 9, {After, 21})}, {After, 30}, Now);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), view_.coordinator("one")->member_.name_);
        CPPUNIT_ASSERT(!view_.coordinator("one")->isStored());
        CPPUNIT_ASSERT(view_.assignment("one")->assignment_ == makeAssignment("b", Before, 9));
    }

private:
    StoreView view_{[](const std::string &, const std::string &) {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOwnEntries);
