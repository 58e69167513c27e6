// Tests of router processes whose store goes away and comes back from an older copy of its content.
#include "Callers.h"
#include "Findings.h"
#include "StoreReturn.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

// The promised bounds, from the acknowledgement by the store.
constexpr Duration DrainBound = 2s;
constexpr Duration ConfigurationBound = 2s;
// An instance that has shown a configuration shows no older one later than this.
constexpr Duration RollbackBound = 250ms;
// The store counts as stable, and bounds hold, so long after a disturbance.
constexpr Duration ContactTime = 3s;
constexpr std::uint64_t FirstEra = 1;

std::string formatRoute(const std::string &name)
{
    return R"({"resourceType":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":"plain.example","prefix":"/)" + name
        + R"(/","kind":"idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"plain","maxAttempts":2}},)";
}

// What came of a return of the store around which the configuration changed and servers left.
struct ChangeFindings
{
    // Requests handled as only the first configuration allows after the second was confirmed and before the third was sent.
    Findings firstConfiguration_;
    // Requests handled as only an older configuration allows after the third was confirmed, or by an instance that has shown the third.
    Findings beforeThirdConfiguration_;
    // Requests that reached the server that drained within the lost seconds, and the one that drained after the return, later than allowed.
    Findings drainedBefore_;
    Findings drainedAfter_;
    // Bookings and other violations.
    Findings rest_;
};

// A deployment whose store loses a change of the configuration and a leaving server, and is written anew after its return.
//
// The route "second" comes with the second configuration and goes with the third, with which "third" comes.
class ChangesAroundReturn
{
public:
    ChangeFindings play()
    {
        CPPUNIT_ASSERT(deployment_.awaitServing());
        Load load(deployment_, {0, 1, 2});
        RouteWatch watch(deployment_, {"/second/", "/third/"});
        pass(ContactTime);
        deployment_.store().takeCopy();
        pass(UntilLostChanges);
        loseChanges();
        pass(LostTime);
        backAt_ = comeBackFromCopy(deployment_);
        pass(UntilRewrite);
        deployment_.rewriteConfiguration();
        pass(UntilNextChanges - UntilRewrite);
        changeAgain();
        pass(DrainBound + TimeAfterBounds);
        watch.stop();
        load.stop();
        routeCalls_ = watch.calls();
        CPPUNIT_ASSERT_MESSAGE("each instance has shown the second configuration", hasServedSecond());
        return judge(load.bookings());
    }

private:
    static constexpr std::size_t InstanceCount = 3;
    // From the copy to the changes that are lost, and from these to the moment at which the store goes away.
    static constexpr Duration UntilLostChanges = 5500ms;
    static constexpr Duration LostTime = 2500ms;
    // From the return to the operator's rewrite, and to the changes after it.
    static constexpr Duration UntilRewrite = 1500ms;
    static constexpr Duration UntilNextChanges = 3200ms;
    static constexpr Duration TimeAfterBounds = 3500ms;

    static void pass(Duration duration)
    {
        std::this_thread::sleep_for(std::chrono::microseconds(duration));
    }

    void loseChanges()
    {
        deployment_.putConfiguration(formatRoute("second"));
        secondAt_ = monotonicNow();
        deployment_.plain(1).registerEntry("draining");
        drainedBeforeAt_ = monotonicNow();
    }

    void changeAgain()
    {
        thirdSentAt_ = monotonicNow();
        deployment_.putConfiguration(formatRoute("third"));
        thirdAt_ = monotonicNow();
        deployment_.plain(0).registerEntry("draining");
        drainedAfterAt_ = monotonicNow();
    }

    ChangeFindings judge(const std::vector<CallerAnswer> &bookings)
    {
        auto rest = findWrongBookings(deployment_, bookings);
        append(rest, deployment_.recorder().violations());
        ChangeFindings found{{findFirstConfiguration()},
                             {findConfigurationsBeforeThird()},
                             {findArrivals("p-1", drainedBeforeAt_ + DrainBound)},
                             {findArrivals("p-0", drainedAfterAt_ + DrainBound)},
                             {std::move(rest)}};
        std::string logs;
        for (auto *each : {&found.firstConfiguration_, &found.beforeThirdConfiguration_, &found.drainedBefore_, &found.drainedAfter_, &found.rest_}) {
            if (!each->texts_.empty()) {
                logs = logs.empty() ? keepLogs(deployment_) : logs;
                each->logs_ = logs;
            }
        }
        return found;
    }

    std::vector<std::string> findFirstConfiguration() const
    {
        return findCalls([this](const RouteCall &call) {
            return call.path_ == "/second/" && call.status_ == 404 && call.sentAt_ > secondAt_ + ConfigurationBound && call.endedAt_ < thirdSentAt_;
        });
    }

    std::vector<std::string> findConfigurationsBeforeThird() const
    {
        std::array<TimePoint, InstanceCount> shownAt;
        shownAt.fill(TimePoint::max());
        for (const auto &call : routeCalls_) {
            if (call.path_ == "/third/" && call.status_ == 200) {
                shownAt[call.instance_] = std::min(shownAt[call.instance_], call.endedAt_);
            }
        }
        return findCalls([&](const RouteCall &call) {
            const bool isOlder = call.path_ == "/second/" ? call.status_ == 200 : call.status_ == 404;
            return isOlder && (call.sentAt_ > thirdAt_ + ConfigurationBound || shownAt[call.instance_] < call.sentAt_ - RollbackBound);
        });
    }

    // Whether each instance has shown the second configuration.
    bool hasServedSecond() const
    {
        std::array<bool, InstanceCount> hasServed{};
        for (const auto &call : routeCalls_) {
            hasServed[call.instance_] |= call.path_ == "/second/" && call.status_ == 200;
        }
        return std::ranges::all_of(hasServed, std::identity());
    }

    std::vector<std::string> findCalls(const std::function<bool(const RouteCall &)> &isWrong) const
    {
        std::vector<std::string> findings;
        for (const auto &call : routeCalls_) {
            if (isWrong(call)) {
                findings.push_back("edge-" + std::to_string(call.instance_) + " answered " + std::to_string(call.status_) + " to " + call.path_ + " "
                                   + formatAge(call.sentAt_));
            }
        }
        return findings;
    }

    std::vector<std::string> findArrivals(const std::string &server, TimePoint bound)
    {
        std::vector<std::string> findings;
        for (const auto &arrival : deployment_.recorder().arrivals()) {
            if (arrival.server_ == server && arrival.at_ > bound) {
                findings.push_back(arrival.requestId_ + " reached " + server + " " + std::to_string((arrival.at_ - bound) / 1ms) + " ms after the bound, "
                                   + formatAge(arrival.at_));
            }
        }
        return findings;
    }

    std::string formatAge(TimePoint at) const
    {
        return std::to_string((at - backAt_) / 1ms) + " ms after the return";
    }

    Deployment deployment_{InstanceCount, DeploymentOptions{.storeEra_ = FirstEra}};
    Heartbeats heartbeats_{deployment_};
    std::vector<RouteCall> routeCalls_;
    TimePoint secondAt_;
    TimePoint drainedBeforeAt_;
    TimePoint backAt_;
    TimePoint thirdSentAt_;
    TimePoint thirdAt_;
    TimePoint drainedAfterAt_;
};

} // namespace

class TestStoreCopy : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreCopy);
    CPPUNIT_TEST(configurationAfterTheReturnIsIgnored);
    CPPUNIT_TEST(serverThatDrainsAfterTheReturnIsUsed);
    CPPUNIT_TEST(configurationSinceTheCopyIsForgottenUntilItIsRewritten);
    CPPUNIT_TEST(serverThatDrainedSinceTheCopyIsUsedAgain);
    CPPUNIT_TEST(bookingsAroundTheReturnRunTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a version of the configuration that never comes into force because the store's revision was higher before.
    void configurationAfterTheReturnIsIgnored()
    {
        checkNone(changesAroundReturn().beforeThirdConfiguration_);
    }

    // Guards against a report of leaving that is ignored because the store's revision was higher before.
    void serverThatDrainsAfterTheReturnIsUsed()
    {
        checkNone(changesAroundReturn().drainedAfter_);
    }

    // Guards against the older configuration of the copy before the operator has written the newest again.
    void configurationSinceTheCopyIsForgottenUntilItIsRewritten()
    {
        checkNone(changesAroundReturn().firstConfiguration_);
    }

    // Guards against the ready entry of the copy before the server has written its present one again.
    void serverThatDrainedSinceTheCopyIsUsedAgain()
    {
        checkNone(changesAroundReturn().drainedBefore_);
    }

    void bookingsAroundTheReturnRunTwice()
    {
        checkNone(changesAroundReturn().rest_);
    }

private:
    // Played once for all tests that look at it.
    static const ChangeFindings &changesAroundReturn()
    {
        static const ChangeFindings findings = ChangesAroundReturn().play();
        return findings;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreCopy);
