// Tests what is known about servers that are to get no requests.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

LeavingNotice makeNotice(LeavingReason reason, TimePoint learntAt, TimePoint bindsFrom)
{
    const auto source = reason == LeavingReason::Announced ? NoticeSource::Response : NoticeSource::Watch;
    return {reason, source, learntAt, bindsFrom, {0, 5}};
}

LeavingNotice makeNotice(LeavingReason reason, TimePoint learntAt)
{
    return makeNotice(reason, learntAt, learntAt);
}

} // namespace

class TestServerNotices : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestServerNotices);
    CPPUNIT_TEST(announcementBindsAtOnceAndForGood);
    CPPUNIT_TEST(readyEntryDoesNotEndAnAnnouncement);
    CPPUNIT_TEST(newRunUnderTheSameIdStartsAfresh);
    CPPUNIT_TEST(signThatMayComeFromAnOutageBindsLater);
    CPPUNIT_TEST(firstSignIsKept);
    CPPUNIT_TEST(serverIsHeldBackFromOneInstanceUntilTheEnd);
    CPPUNIT_TEST(evacuatedServerIsNotAllowed);
    CPPUNIT_TEST(shorterHoldBackDoesNotEndALongerOne);
    CPPUNIT_TEST(wrongTimeDoesNotExcludeAServerForGood);
    CPPUNIT_TEST(announcementsThatTheStoreLacksAreListed);
    CPPUNIT_TEST(signThatBindsAlreadyIsNotWithdrawnAsPending);
    CPPUNIT_TEST(laterRunOfAnEarlierEraIsKnown);
    CPPUNIT_TEST(signsThatTheStoreDoesNotTellOfAreListed);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void announcementBindsAtOnceAndForGood()
    {
        CPPUNIT_ASSERT(notices_.decide(server_, "a", false, at(0)).isAllowed());
        CPPUNIT_ASSERT(notices_.recordLeaving(server_, makeNotice(LeavingReason::Announced, at(0)), at(0)));
        for (const auto now : {at(0), at(1), at(100'000'000)}) {
            const auto decision = notices_.decide(server_, "a", false, now);
            CPPUNIT_ASSERT(decision.verdict_ == SendVerdict::Leaving);
            CPPUNIT_ASSERT(decision.notice_ && decision.notice_->learntAt_ == at(0));
            CPPUNIT_ASSERT(notices_.isLeaving(server_, now));
        }
    }

    void readyEntryDoesNotEndAnAnnouncement()
    {
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Announced, at(0)), at(0));
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Draining, at(1)), at(1));
        notices_.withdrawStoreSign(server_, at(2));
        CPPUNIT_ASSERT(notices_.isLeaving(server_, at(3)));
        CPPUNIT_ASSERT(!changes_.back().notice_);
    }

    void newRunUnderTheSameIdStartsAfresh()
    {
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Announced, at(0)), at(0));
        notices_.holdBack(server_, "a", 5s, at(0));
        CPPUNIT_ASSERT(notices_.decide({server_.id_, server_.startTime_ + 1}, "a", false, at(1)).isAllowed());
    }

    void signThatMayComeFromAnOutageBindsLater()
    {
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Removed, at(0), at(2000)), at(0));
        CPPUNIT_ASSERT(notices_.decide(server_, "a", false, at(1999)).isAllowed());
        CPPUNIT_ASSERT(!notices_.decide(server_, "a", false, at(2000)).isAllowed());
        // Another sign of the store is certain and binds at once.
        CPPUNIT_ASSERT(notices_.recordLeaving(server_, makeNotice(LeavingReason::Draining, at(100)), at(100)));
        CPPUNIT_ASSERT(!notices_.decide(server_, "a", false, at(100)).isAllowed());
    }

    void firstSignIsKept()
    {
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Draining, at(0)), at(0));
        CPPUNIT_ASSERT(!notices_.recordLeaving(server_, makeNotice(LeavingReason::Removed, at(5)), at(5)));
        CPPUNIT_ASSERT(notices_.decide(server_, "a", false, at(9)).notice_->reason_ == LeavingReason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes_.size());
    }

    void serverIsHeldBackFromOneInstanceUntilTheEnd()
    {
        CPPUNIT_ASSERT(!notices_.hasHeldBack(at(0)));
        notices_.holdBack(server_, "a", 1s, at(0));
        CPPUNIT_ASSERT(notices_.hasHeldBack(at(999)));
        const auto decision = notices_.decide(server_, "a", false, at(999));
        CPPUNIT_ASSERT(decision.verdict_ == SendVerdict::HeldBack);
        CPPUNIT_ASSERT(decision.heldBackUntil_ == at(1000));
        CPPUNIT_ASSERT(notices_.decide(server_, "b", false, at(999)).isAllowed());
        CPPUNIT_ASSERT(!notices_.isLeaving(server_, at(999)));
        CPPUNIT_ASSERT(notices_.decide(server_, "a", false, at(1000)).isAllowed());
    }

    void evacuatedServerIsNotAllowed()
    {
        CPPUNIT_ASSERT(notices_.decide(server_, "a", true, at(0)).verdict_ == SendVerdict::Evacuated);
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Draining, at(0)), at(0));
        CPPUNIT_ASSERT(notices_.decide(server_, "a", true, at(0)).verdict_ == SendVerdict::Leaving);
    }

    void shorterHoldBackDoesNotEndALongerOne()
    {
        notices_.holdBack(server_, "a", 1s, at(0));
        notices_.holdBack(server_, "a", 400ms, at(100));
        CPPUNIT_ASSERT(!notices_.decide(server_, "a", false, at(900)).isAllowed());
    }

    void wrongTimeDoesNotExcludeAServerForGood()
    {
        notices_.holdBack(server_, "a", Duration::max(), at(0));
        CPPUNIT_ASSERT(!notices_.decide(server_, "a", false, at(599'999)).isAllowed());
        CPPUNIT_ASSERT(notices_.decide(server_, "a", false, at(600'000)).isAllowed());
        notices_.holdBack(server_, "a", Duration::min(), at(600'000));
        CPPUNIT_ASSERT(notices_.decide(server_, "a", false, at(600'000)).isAllowed());
    }

    void announcementsThatTheStoreLacksAreListed()
    {
        const ServerIncarnation other{"i-2", 8};
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Announced, at(0)), at(0));
        notices_.recordLeaving(other, makeNotice(LeavingReason::Draining, at(0)), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices_.announcedOnly().size());
        CPPUNIT_ASSERT(notices_.announcedOnly().front() == server_);
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Draining, at(1)), at(1));
        CPPUNIT_ASSERT(notices_.announcedOnly().empty());
        notices_.withdrawStoreSign(server_, at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices_.announcedOnly().size());
    }

    void signThatBindsAlreadyIsNotWithdrawnAsPending()
    {
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Removed, at(0), at(2000)), at(0));
        notices_.withdrawPendingStoreSign(server_, at(2000));
        CPPUNIT_ASSERT(notices_.isLeaving(server_, at(2000)));
        notices_.withdrawPendingStoreSign(server_, at(1999));
        CPPUNIT_ASSERT(!notices_.isLeaving(server_, at(2000)));
    }

    void laterRunOfAnEarlierEraIsKnown()
    {
        auto notice = makeNotice(LeavingReason::Removed, at(0));
        notice.version_ = {2, 5};
        notices_.recordLeaving({"i-1", 7}, notice, at(0));
        notices_.recordLeaving({"i-2", 9}, notice, at(0));
        CPPUNIT_ASSERT(notices_.hasLaterRunLeft({"i-1", 6}, 3));
        CPPUNIT_ASSERT(!notices_.hasLaterRunLeft({"i-1", 6}, 2));
        CPPUNIT_ASSERT(!notices_.hasLaterRunLeft({"i-1", 7}, 3));
        CPPUNIT_ASSERT(!notices_.hasLaterRunLeft({"i-0", 6}, 3));
    }

    void signsThatTheStoreDoesNotTellOfAreListed()
    {
        notices_.recordForgotten(server_);
        CPPUNIT_ASSERT(notices_.forgotten(at(0)).empty());
        notices_.recordLeaving(server_, makeNotice(LeavingReason::Removed, at(0), at(1000)), at(0));
        notices_.recordForgotten(server_);
        notices_.recordForgotten(server_);
        CPPUNIT_ASSERT(notices_.forgotten(at(999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices_.forgotten(at(1000)).size());
        CPPUNIT_ASSERT(!notices_.hasAnnounced());
        notices_.withdrawStoreSign(server_, at(1001));
        CPPUNIT_ASSERT(notices_.forgotten(at(1001)).empty());
        notices_.recordForgottenLeaving(server_, makeNotice(LeavingReason::Draining, at(1002)), at(1002));
        CPPUNIT_ASSERT(notices_.hasAnnounced());
        CPPUNIT_ASSERT(notices_.isLeaving(server_, at(1002)));
        for (UnixMilliseconds startTime = 100; startTime < 1000; ++startTime) {
            notices_.recordForgottenLeaving({"i-1", startTime}, makeNotice(LeavingReason::Draining, at(1002)), at(1002));
        }
        CPPUNIT_ASSERT(notices_.forgotten(at(1002)).size() <= 64);
    }

    void memoryIsBounded()
    {
        for (int i = 0; i < 20000; ++i) {
            const ServerIncarnation server{"s-" + std::to_string(i), 1};
            notices_.recordLeaving(server, makeNotice(LeavingReason::Announced, at(i)), at(i));
            notices_.holdBack(server, "a", 600s, at(i));
        }
        CPPUNIT_ASSERT(notices_.announcedOnly().size() <= 64);
        CPPUNIT_ASSERT(!notices_.isLeaving({"s-0", 1}, at(20000)));
        CPPUNIT_ASSERT(notices_.isLeaving({"s-19999", 1}, at(20000)));
        CPPUNIT_ASSERT(notices_.decide({"s-0", 1}, "a", false, at(20000)).verdict_ == SendVerdict::HeldBack);
    }

private:
    const ServerIncarnation server_{"i-1", 7};
    std::vector<ServerChange> changes_;
    ServerNotices notices_{[this](const ServerChange &change, TimePoint) {
        changes_.push_back(change);
    }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestServerNotices);
