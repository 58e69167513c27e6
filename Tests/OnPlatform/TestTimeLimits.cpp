// Tests that router processes answer each request soon after its route's time limit, whatever is silent.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

// All routes of a deployment have this limit.
constexpr Duration TimeLimit = 2s;
constexpr Duration MaxExcess = 500ms;
// Callers would wait longer.
constexpr Duration Patience = 4500ms;

struct Call
{
    std::string name_;
    CallerRequest request_;
    std::size_t instance_ = 0;
};

std::vector<Call> makeCalls(std::size_t instances)
{
    std::vector<Call> calls;
    for (std::size_t instance = 0; instance < instances; ++instance) {
        for (const auto &[name, request] : {std::pair("lookup", CallerRequest()), std::pair("booking", makeBooking()), std::pair("keyed", makeKeyed(4711))}) {
            // More than the servers run at the same time, so that some wait in the queue.
            for (int i = 0; i < 12; ++i) {
                calls.push_back({name, request, instance});
                calls.back().request_.callerTimeout_ = Patience;
            }
        }
    }
    return calls;
}

// Makes all calls at the same time and checks that each is answered in time.
void checkAnswersInTime(Deployment &deployment, const std::vector<Call> &calls)
{
    std::mutex mutex;
    std::string failures;
    std::vector<std::jthread> callers;
    for (const auto &call : calls) {
        callers.emplace_back([&] {
            const TimePoint startedAt = monotonicNow();
            const auto answer = deployment.call(call.instance_, call.request_);
            const Duration waited = monotonicNow() - startedAt;
            if (answer.status_ == 0 || waited > TimeLimit + MaxExcess) {
                const std::lock_guard lock(mutex);
                failures += call.name_ + " at " + std::to_string(call.instance_) + ": " + std::to_string(answer.status_) + " after us "
                    + std::to_string(waited.count()) + "\n";
            }
        });
    }
    callers.clear();
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

void setAllFaults(Deployment &deployment, PlatformServerFault fault)
{
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.plain(i).setFault(fault);
        deployment.sharded(i).setFault(fault);
    }
}

} // namespace

class TestTimeLimits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTimeLimits);
    CPPUNIT_TEST(requestsAreAnsweredWhileServersAreSilent);
    CPPUNIT_TEST(requestsAreAnsweredWhileACoordinatorIsSilent);
    CPPUNIT_TEST(requestsAreAnsweredWhileTheStoreIsSilent);
    CPPUNIT_TEST(requestsBeginAfterAChangeOfTheirTimeLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsAreAnsweredWhileServersAreSilent()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setAllFaults(deployment, PlatformServerFault::Unresponsive);
        checkAnswersInTime(deployment, makeCalls(2));
        setAllFaults(deployment, PlatformServerFault::None);
    }

    void requestsAreAnsweredWhileACoordinatorIsSilent()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto *coordinator = deployment.coordinator("plain");
        CPPUNIT_ASSERT(coordinator != nullptr);
        std::vector<Call> calls;
        for (const auto &call : makeCalls(3)) {
            if (&deployment.instance(call.instance_) != coordinator) {
                calls.push_back(call);
            }
        }
        coordinator->signal(SIGSTOP);
        checkAnswersInTime(deployment, calls);
        setAllFaults(deployment, PlatformServerFault::Unresponsive);
        checkAnswersInTime(deployment, calls);
        setAllFaults(deployment, PlatformServerFault::None);
        coordinator->signal(SIGCONT);
    }

    void requestsAreAnsweredWhileTheStoreIsSilent()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.store().setFault(PlatformStoreFault::Unresponsive);
        setAllFaults(deployment, PlatformServerFault::Unresponsive);
        checkAnswersInTime(deployment, makeCalls(2));
        setAllFaults(deployment, PlatformServerFault::None);
        deployment.store().setFault(PlatformStoreFault::None);
    }

    // A new request has the limit of the newest version at once, also on a route whose earlier requests still run with a longer one.
    void requestsBeginAfterAChangeOfTheirTimeLimit()
    {
        const auto route = [](const char *limit) {
            return R"({"resourceType":"routes","metadata":{"name":"r-slow"},"spec":{"host":"plain.example","prefix":"/slow/","kind":"idempotent","timeoutS":)"
                + std::string(limit) + R"(,"aimS":0.3,"priority":1,"service":"plain","maxAttempts":2}},)";
        };
        Deployment deployment(1);
        deployment.putConfiguration(route("10"));
        CPPUNIT_ASSERT(deployment.awaitServing());
        CallerRequest request;
        request.path_ = "/slow/x";
        request.callerTimeout_ = Patience;
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.call(0, request).status_ == 200;
        }));
        setAllFaults(deployment, PlatformServerFault::Unresponsive);
        std::jthread earlier([&] {
            deployment.call(0, request);
        });
        std::this_thread::sleep_for(200ms);
        deployment.putConfiguration(route("1.5"));
        std::this_thread::sleep_for(700ms);
        checkAnswersInTime(deployment, {{"later", request, 0}});
        setAllFaults(deployment, PlatformServerFault::None);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTimeLimits);
