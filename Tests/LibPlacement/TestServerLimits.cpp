// Tests which of the limits that a server names is in force.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

} // namespace

class TestServerLimits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestServerLimits);
    CPPUNIT_TEST(limitHoldsUntilALaterRequestIsAnsweredWithoutIt);
    CPPUNIT_TEST(responseMadeBeforeTheLimitDoesNotEndIt);
    CPPUNIT_TEST(responseMadeBeforeALowerLimitDoesNotRaiseIt);
    CPPUNIT_TEST(lowerLimitHoldsAtOnce);
    CPPUNIT_TEST(limitThatEndsAndReturnsWithinASecondHolds);
    CPPUNIT_TEST(newRunUnderTheSameIdHasNoLimit);
    CPPUNIT_TEST(changesAreReportedOnce);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitHoldsUntilALaterRequestIsAnsweredWithoutIt()
    {
        name(2.5, at(0), at(100));
        CPPUNIT_ASSERT_EQUAL(2.5, rate());
        limits_.recordAbsent(server_, at(101), at(200));
        CPPUNIT_ASSERT(limits_.find(server_) == nullptr);
        CPPUNIT_ASSERT(limits_.isEmpty());
    }

    void responseMadeBeforeTheLimitDoesNotEndIt()
    {
        name(2.5, at(0), at(100));
        limits_.recordAbsent(server_, at(50), at(300));
        limits_.recordAbsent(server_, at(100), at(300));
        CPPUNIT_ASSERT_EQUAL(2.5, rate());
    }

    void responseMadeBeforeALowerLimitDoesNotRaiseIt()
    {
        name(0.5, at(0), at(100));
        name(20, at(50), at(300));
        CPPUNIT_ASSERT_EQUAL(0.5, rate());
        name(20, at(150), at(400));
        CPPUNIT_ASSERT_EQUAL(20.0, rate());
    }

    void lowerLimitHoldsAtOnce()
    {
        name(20, at(0), at(100));
        name(2, at(50), at(150));
        CPPUNIT_ASSERT_EQUAL(2.0, rate());
    }

    void limitThatEndsAndReturnsWithinASecondHolds()
    {
        name(2, at(0), at(100));
        limits_.recordAbsent(server_, at(150), at(200));
        name(2, at(250), at(300));
        // Was sent while there was no limit.
        limits_.recordAbsent(server_, at(220), at(400));
        CPPUNIT_ASSERT_EQUAL(2.0, rate());
    }

    void newRunUnderTheSameIdHasNoLimit()
    {
        name(2, at(0), at(100));
        CPPUNIT_ASSERT(limits_.find({server_.id_, server_.startTime_ + 1}) == nullptr);
    }

    void changesAreReportedOnce()
    {
        name(2, at(0), at(100));
        name(2, at(50), at(150));
        name(1, at(50), at(160));
        limits_.recordAbsent(server_, at(170), at(200));
        limits_.recordAbsent(server_, at(210), at(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), changes_.size());
        CPPUNIT_ASSERT(!changes_[0].before_ && changes_[0].after_);
        CPPUNIT_ASSERT(changes_[1].before_ && changes_[1].before_->rate_ == 2 && changes_[1].after_->rate_ == 1);
        CPPUNIT_ASSERT(changes_[2].before_ && !changes_[2].after_);
        CPPUNIT_ASSERT(changes_[2].before_->learntAt_ == at(100));
    }

    void memoryIsBounded()
    {
        for (int i = 0; i < 5000; ++i) {
            limits_.recordNamed({"i-" + std::to_string(i), 1}, 1, NoticeSource::Response, at(i), at(i));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4000), limits_.entries().size());
        CPPUNIT_ASSERT(limits_.find({"i-0", 1}) == nullptr);
        CPPUNIT_ASSERT(limits_.find({"i-4999", 1}) != nullptr);
    }

private:
    void name(double rate, TimePoint sentAt, TimePoint now)
    {
        limits_.recordNamed(server_, rate, NoticeSource::Response, sentAt, now);
    }

    double rate() const
    {
        const auto *limit = limits_.find(server_);
        CPPUNIT_ASSERT(limit != nullptr);
        return limit->rate_;
    }

    ServerIncarnation server_{"i-1", 7};
    std::vector<LimitChange> changes_;
    ServerLimits limits_{[this](const LimitChange &change, TimePoint) {
        changes_.push_back(change);
    }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestServerLimits);
