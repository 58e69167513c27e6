// Tests that the checks find broken promises in records that are made up, and only those.
#include "PromiseChecks.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Soak;

namespace {

const TimePoint Start = TimePoint() + 100s;
constexpr Duration ServiceTime = 5ms;

// Adds a call that ran at a server, or at none if its name is empty.
void addCall(SoakResult &result, CallKind kind, Duration at, int status, const std::string &server)
{
    CallRecord call;
    call.kind_ = kind;
    call.sentAt_ = Start + at;
    call.endedAt_ = call.sentAt_ + ServiceTime;
    call.answer_.requestId_ = "q" + std::to_string(result.calls_.size());
    call.answer_.status_ = status;
    call.answer_.isSigned_ = status == 200;
    call.answer_.body_ = status == 200 ? server + " ran /x for " + call.answer_.requestId_ + "\n" : "";
    if (!server.empty()) {
        result.runs_.push_back({call.answer_.requestId_, server, "GET", "/x", "", call.sentAt_});
        result.arrivals_.push_back({call.answer_.requestId_, server, call.sentAt_});
    }
    result.calls_.push_back(std::move(call));
}

void addRouteChange(SoakResult &result, RouteState state, Duration at)
{
    result.play_.routeChanges_.push_back({0, state, Start + at, Start + at});
}

void addHold(SoakResult &result, const std::string &server, std::uint64_t token, Duration at, Duration length)
{
    result.holdings_.push_back({server, Start + at, {{0, 100, token, Start + at + length}}});
}

std::string rulesOf(const SoakResult &result)
{
    std::string rules;
    for (const auto &finding : checkPromises(result)) {
        rules += finding.rule_ + " ";
    }
    return rules;
}

} // namespace

class TestPromiseChecks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPromiseChecks);
    CPPUNIT_TEST(findsKeysHeldTwice);
    CPPUNIT_TEST(findsLowerToken);
    CPPUNIT_TEST(findsLateConfiguration);
    CPPUNIT_TEST(findsConfigurationThatGoesBack);
    CPPUNIT_TEST(findsLateArrivals);
    CPPUNIT_TEST(findsBrokenAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsKeysHeldTwice()
    {
        SoakResult result;
        addHold(result, "s-0", 1, 0s, 4s);
        addHold(result, "s-1", 2, 3600ms, 4s);
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
        addCall(result, CallKind::Keyed, 3700ms, 200, "s-0");
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
        addCall(result, CallKind::Keyed, 3800ms, 200, "s-1");
        CPPUNIT_ASSERT_EQUAL(std::string("OWNER "), rulesOf(result));
        result.calls_.clear();
        // A renewal makes it longer.
        addHold(result, "s-0", 1, 3800ms, 4s);
        CPPUNIT_ASSERT_EQUAL(std::string("OWNER "), rulesOf(result));
    }

    void findsLowerToken()
    {
        SoakResult result;
        addHold(result, "s-0", 5, 0s, 1s);
        // Holds that have ended may still be recorded.
        addHold(result, "s-1", 4, 3s, -1s);
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
        addHold(result, "s-1", 4, 3s, 1s);
        CPPUNIT_ASSERT_EQUAL(std::string("OWNER "), rulesOf(result));
    }

    void findsLateConfiguration()
    {
        SoakResult result;
        addRouteChange(result, RouteState::Plain, 10s);
        addCall(result, CallKind::Changing, 11900ms, 404, "");
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
        addCall(result, CallKind::Changing, 12100ms, 404, "");
        CPPUNIT_ASSERT_EQUAL(std::string("CONFIG "), rulesOf(result));
        addRouteChange(result, RouteState::Sharded, 13s);
        addCall(result, CallKind::Changing, 15100ms, 200, "p-0");
        CPPUNIT_ASSERT_EQUAL(std::string("CONFIG CONFIG "), rulesOf(result));
        // A pause that ended within 3 s before excuses it.
        result.play_.disturbances_.push_back({Subject::Process, 0, Start + 11s, Start + 13s});
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
    }

    void findsConfigurationThatGoesBack()
    {
        SoakResult result;
        addRouteChange(result, RouteState::Plain, 10s);
        addCall(result, CallKind::Changing, 10100ms, 200, "p-0");
        addCall(result, CallKind::Changing, 10200ms, 404, "");
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
        addCall(result, CallKind::Changing, 10500ms, 404, "");
        CPPUNIT_ASSERT_EQUAL(std::string("CONFIG "), rulesOf(result));
        // Another process knows nothing of it.
        result.play_.disturbances_.push_back({Subject::Process, 0, Start + 10200ms, Start + 10300ms});
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
    }

    void findsLateArrivals()
    {
        SoakResult result;
        result.play_.leavings_.push_back({0, Start + 10s, Start + 15s});
        addCall(result, CallKind::Plain, 11900ms, 200, "p-0");
        addCall(result, CallKind::Plain, 12100ms, 200, "p-1");
        addCall(result, CallKind::Plain, 15100ms, 200, "p-0");
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
        addCall(result, CallKind::Plain, 12100ms, 200, "p-0");
        CPPUNIT_ASSERT_EQUAL(std::string("DRAIN "), rulesOf(result));
        result.play_.evacuations_.push_back({1, Start + 20s, Start + 30s});
        addCall(result, CallKind::Plain, 24900ms, 200, "p-1");
        addCall(result, CallKind::Plain, 25100ms, 200, "p-2");
        CPPUNIT_ASSERT_EQUAL(std::string("DRAIN "), rulesOf(result));
        addCall(result, CallKind::Plain, 25100ms, 200, "s-3");
        CPPUNIT_ASSERT_EQUAL(std::string("DRAIN EVAC "), rulesOf(result));
    }

    void findsBrokenAnswers()
    {
        SoakResult result;
        addCall(result, CallKind::Booking, 1s, 200, "p-0");
        addCall(result, CallKind::Booking, 1s, 503, "");
        addCall(result, CallKind::Booking, 1s, 502, "p-0");
        CPPUNIT_ASSERT_EQUAL(std::string(), rulesOf(result));
        addCall(result, CallKind::Booking, 1s, 0, "p-0");
        addCall(result, CallKind::Booking, 1s, 503, "p-0");
        addCall(result, CallKind::Booking, 1s, 200, "p-0");
        result.runs_.push_back(result.runs_.back());
        result.calls_.front().answer_.isSigned_ = false;
        addCall(result, CallKind::Plain, 1s, 404, "");
        CPPUNIT_ASSERT_EQUAL(std::string("CONFIG LOST MIXED REFUSED TWICE "), rulesOf(result));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPromiseChecks);
