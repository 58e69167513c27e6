// Tests of caller and server connections: pipelining, disconnects, planned stops and malformed input.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <random>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

std::string get(const std::string &id, const std::string &headers = "")
{
    return "GET /plain/" + id + " HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: " + id + "\r\n" + headers + "\r\n";
}

std::string book(const std::string &id, const std::string &headers = "")
{
    return "POST /book/" + id + " HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: " + id + "\r\nContent-Length: 3\r\n" + headers + "\r\nabc";
}

const std::string Close = "Connection: close\r\n";
constexpr int MaxCallsOfAnOrder = 5;

void setFault(Deployment &deployment, PlatformServerFault fault)
{
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.plain(i).setFault(fault);
    }
}

// Several callers at the same time make orders, and repeat each with its id while it is rejected. Each server rejects an order once, and its key
// may move meanwhile. Returns the last answer to each order.
std::vector<CallerAnswer> makeOrdersThatAreRejected(Deployment &deployment)
{
    constexpr std::uint32_t Callers = 4;
    constexpr std::uint32_t OrdersOfEach = 6;
    std::vector<CallerAnswer> answers(std::size_t{Callers} * OrdersOfEach);
    std::vector<std::jthread> callers;
    for (std::uint32_t caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&deployment, &answers, caller] {
            CallerRequest order = makeBooking();
            order.host_ = "keyed.example";
            order.path_ = "/once/1";
            for (std::uint32_t i = caller * OrdersOfEach; i < (caller + 1) * OrdersOfEach; ++i) {
                order.key_ = i * 2500;
                order.requestId_ = "order-" + std::to_string(i);
                for (int call = 0; call < MaxCallsOfAnOrder && (call == 0 || answers[i].status_ == 503); ++call) {
                    answers[i] = deployment.call(0, order);
                }
            }
        });
    }
    callers.clear();
    return answers;
}

void checkOrders(PlatformServerFault fault)
{
    Deployment deployment(1);
    deployment.putConfiguration(R"({"resourceType":"routes","metadata":{"name":"r-once"},"spec":{"host":"keyed.example","prefix":"/once/",
        "kind":"non_idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"sharded","maxAttempts":1}},)");
    CPPUNIT_ASSERT(deployment.awaitServing());
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.sharded(i).setFault(fault);
    }
    const auto answers = makeOrdersThatAreRejected(deployment);
    checkBookings(deployment, answers);
    CPPUNIT_ASSERT(std::ranges::all_of(answers, [](const CallerAnswer &answer) {
        return answer.status_ == 200;
    }));
}

bool awaitRun(Deployment &deployment, const std::string &id)
{
    return Deployment::eventually([&] {
        return deployment.recorder().runsOf(id) == 1;
    });
}

} // namespace

class TestConnections : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConnections);
    CPPUNIT_TEST(pipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder);
    CPPUNIT_TEST(bookingWaitsForEarlierResponses);
    CPPUNIT_TEST(requestsAfterAClosingResponseAreNotRun);
    CPPUNIT_TEST(plannedStopAnswersAllThatWasBegun);
    CPPUNIT_TEST(plannedStopTakesNothingThatItMightCutOff);
    CPPUNIT_TEST(plannedStopWaitsForARequestThatArrivesSlowly);
    CPPUNIT_TEST(laterRequestThatArrivesSlowlyCutsOffNoEarlierOne);
    CPPUNIT_TEST(callerDisconnectCancelsPipelinedRequests);
    CPPUNIT_TEST(requestsOfCallersThatHaveLeftAreNotSent);
    CPPUNIT_TEST(requestsReadAfterTheirDeadlineAreNotSent);
    CPPUNIT_TEST(answersWithoutEndAreCutOff);
    CPPUNIT_TEST(serversThatNeverEndAreAvoided);
    CPPUNIT_TEST(lateSecondAnswersReachNobody);
    CPPUNIT_TEST(repeatedRejectionIsNoAnswerToTheNextSend);
    CPPUNIT_TEST(copyOfARejectionIsNoAnswerToItsCallersRepeat);
    CPPUNIT_TEST(lateCopiesOfRejectionsAreNoAnswersToRepeats);
    CPPUNIT_TEST(copiesOfRejectionsInPartsAreNoAnswersToRepeats);
    CPPUNIT_TEST(secondCopiesOfRejectionsAreNoAnswersToRepeats);
    CPPUNIT_TEST(earlyCopiesOfRejectionsAreNoAnswersToRepeats);
    CPPUNIT_TEST(statusWithoutStatementIsNoPromise);
    CPPUNIT_TEST(rejectionOfNobodyOnAKeptConnectionIsNoPromise);
    CPPUNIT_TEST(chunkExtensionWithoutEndIsRefused);
    CPPUNIT_TEST(bytesThatAreNoMessagesEndNoProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    void pipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        // Servers respond only in pairs, so neither request completes unless both run concurrently.
        setFault(deployment, PlatformServerFault::RespondsInPairs);
        const auto received = sendAndReceiveAll(deployment.instance(0).callerPort(), get("one") + get("two", Close));
        const auto first = received.find("ran /plain/one");
        const auto second = received.find("ran /plain/two");
        CPPUNIT_ASSERT_MESSAGE(received, first != std::string::npos && second != std::string::npos && first < second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.recorder().runsOf("one"));
    }

    // Guards against a booking that is sent on late in the grace period and cut off without an answer when the process ends.
    void plannedStopTakesNothingThatItMightCutOff()
    {
        Deployment deployment(1);
        deployment.putConfiguration(R"({"resourceType":"routes","metadata":{"name":"r-slow"},"spec":{"host":"plain.example","prefix":"/slow/",
            "kind":"non_idempotent","timeoutS":10,"aimS":0.3,"priority":1,"service":"plain","maxAttempts":2}},)");
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::Unresponsive);
        // A request that lasts until the end keeps the process running.
        RawConnection other(deployment.instance(0).callerPort());
        other.send("GET /slow/long HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: long\r\n\r\n");
        CPPUNIT_ASSERT(awaitRun(deployment, "long"));
        RawConnection connection(deployment.instance(0).callerPort());
        deployment.instance(0).signal(SIGTERM);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        // The rest of the body arrives when the platform no longer routes callers here.
        connection.send("POST /slow/late HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: late\r\nContent-Length: 6\r\n\r\nabc");
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        connection.send("def");
        const auto received = connection.receiveAll();
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_MESSAGE(received, received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("late"));
        CPPUNIT_ASSERT(deployment.instance(0).wait(8s) == std::optional<int>(0));
    }

    void bookingWaitsForEarlierResponses()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::Unresponsive);
        RawConnection connection(deployment.instance(0).callerPort());
        connection.send(get("one") + book("two") + get("three"));
        CPPUNIT_ASSERT(awaitRun(deployment, "one"));
        // A request on another connection is not held up.
        RawConnection other(deployment.instance(0).callerPort());
        other.send(get("four"));
        CPPUNIT_ASSERT(awaitRun(deployment, "four"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("two"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("three"));
        connection.close();
        other.close();
        setFault(deployment, PlatformServerFault::None);
        CPPUNIT_ASSERT(deployment.awaitServing());
        // The caller disconnected before the booking was started.
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("two"));
    }

    void requestsAfterAClosingResponseAreNotRun()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto received = sendAndReceiveAll(deployment.instance(0).callerPort(), get("one", Close) + get("two") + book("three"));
        CPPUNIT_ASSERT(received.find("ran /plain/one") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(received, received.find("HTTP/1.1", 1) == std::string::npos);
        CPPUNIT_ASSERT(deployment.awaitServing());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("two"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("three"));
        // Requests after one that cannot be parsed are not run either.
        const auto refused = sendAndReceiveAll(deployment.instance(0).callerPort(), get("four") + "nonsense\r\n\r\n" + get("five"));
        CPPUNIT_ASSERT(refused.find("ran /plain/four") < refused.find("HTTP/1.1 400"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("five"));
    }

    void plannedStopAnswersAllThatWasBegun()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::Unresponsive);
        RawConnection connection(deployment.instance(0).callerPort());
        connection.send(get("one") + get("two") + get("three"));
        for (const char *id : {"one", "two", "three"}) {
            CPPUNIT_ASSERT(awaitRun(deployment, id));
        }
        deployment.instance(0).signal(SIGTERM);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return !deployment.instance(0).isReady();
        }));
        // Arrives during the stop: it may be left unstarted, but must not be started and cut off.
        connection.send(book("four"));
        setFault(deployment, PlatformServerFault::None);
        const auto received = connection.receiveAll();
        std::size_t answers = 0;
        for (auto at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1)) {
            ++answers;
        }
        const auto bookings = deployment.recorder().runsOf("four");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(received, 3 + bookings, answers);
        CPPUNIT_ASSERT_MESSAGE(received, received.find("Connection: close") > received.rfind("HTTP/1.1 "));
        CPPUNIT_ASSERT_EQUAL(0, deployment.instance(0).wait(10s).value_or(-1));
        checkNoViolations(deployment);
    }

    // Guards against a planned stop that ends the process while the only connection brings the rest of a request.
    void plannedStopWaitsForARequestThatArrivesSlowly()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        RawConnection connection(deployment.instance(0).callerPort());
        deployment.instance(0).signal(SIGTERM);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        connection.send("POST /book/late HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: late\r\nContent-Length: 6\r\n\r\nabc");
        std::this_thread::sleep_for(std::chrono::milliseconds(1400));
        connection.send("def");
        const auto received = connection.receiveAll();
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200") || received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(received.starts_with("HTTP/1.1 200") ? 1 : 0), deployment.recorder().runsOf("late"));
        CPPUNIT_ASSERT(deployment.instance(0).wait(5s) == std::optional<int>(0));
    }

    // Guards against a time-out while a later request is read that closes the connection under the requests before it.
    void laterRequestThatArrivesSlowlyCutsOffNoEarlierOne()
    {
        Deployment deployment(1);
        deployment.putConfiguration(R"({"resourceType":"routes","metadata":{"name":"r-slow"},"spec":{"host":"plain.example","prefix":"/slow/",
            "kind":"non_idempotent","timeoutS":10,"aimS":0.3,"priority":1,"service":"plain","maxAttempts":2}},)");
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::RespondsInPairs);
        RawConnection connection(deployment.instance(0).callerPort());
        connection.send("GET /slow/one HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: one\r\n\r\nGET /slow/two HTTP/1.1\r\nHost:");
        CPPUNIT_ASSERT(awaitRun(deployment, "one"));
        // The time limit for a header is 3 s.
        std::this_thread::sleep_for(std::chrono::seconds(4));
        setFault(deployment, PlatformServerFault::None);
        const auto received = connection.receiveAll();
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_MESSAGE(received, received.find("HTTP/1.1 408") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("two"));
    }

    void callerDisconnectCancelsPipelinedRequests()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::Unresponsive);
        RawConnection connection(deployment.instance(0).callerPort());
        // The disconnect is also noticed after the last request of a connection.
        connection.send(get("one") + get("two", Close));
        CPPUNIT_ASSERT(awaitRun(deployment, "one"));
        CPPUNIT_ASSERT(awaitRun(deployment, "two"));
        connection.close();
        for (const char *id : {"one", "two"}) {
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                const auto lines = deployment.linesForRequest(id);
                return std::ranges::any_of(lines, [](const std::string &line) {
                    return line.find("\"reason\":\"caller-left\"") != std::string::npos;
                });
            }));
        }
        setFault(deployment, PlatformServerFault::None);
        CPPUNIT_ASSERT(deployment.awaitServing());
    }

    // Guards against requests that are sent on because the end of the caller's connection waits behind them in the loop's queue.
    void requestsOfCallersThatHaveLeftAreNotSent()
    {
        constexpr int Callers = 200;
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int i = 0; i < Callers; ++i) {
            connections.push_back(std::make_unique<RawConnection>(deployment.instance(0).callerPort()));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        deployment.instance(0).signal(SIGSTOP);
        for (int i = 0; i < Callers; ++i) {
            const std::string id = "gone" + std::to_string(i);
            connections[i]->send(i % 2 == 0 ? get(id) : book(id));
            connections[i]->close();
        }
        deployment.instance(0).signal(SIGCONT);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::size_t sent = 0;
        for (int i = 0; i < Callers; ++i) {
            sent += deployment.recorder().runsOf("gone" + std::to_string(i));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), sent);
    }

    // Guards against requests that waited in their sockets while the process was busy, and are sent on as if they had just been made.
    void requestsReadAfterTheirDeadlineAreNotSent()
    {
        constexpr int Callers = 20;
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int i = 0; i < Callers; ++i) {
            connections.push_back(std::make_unique<RawConnection>(deployment.instance(0).callerPort()));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        deployment.instance(0).signal(SIGSTOP);
        const std::string headers = "Goldcrestwall-Request-Deadline: 200\r\n" + Close;
        for (int i = 0; i < Callers; ++i) {
            const std::string id = "late" + std::to_string(i);
            connections[i]->send(i % 2 == 0 ? get(id, headers) : book(id, headers));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        deployment.instance(0).signal(SIGCONT);
        for (int i = 0; i < Callers; ++i) {
            const auto received = connections[i]->receiveAll();
            CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 503"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("late" + std::to_string(i)));
        }
    }

    void answersWithoutEndAreCutOff()
    {
        Deployment deployment(1, 10s, TightMemoryMegabytes);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (const auto fault : {PlatformServerFault::EndlessHeaders, PlatformServerFault::EndlessBody}) {
            setFault(deployment, fault);
            const auto lookup = deployment.call(0, CallerRequest());
            CPPUNIT_ASSERT_EQUAL(502, lookup.status_);
            const auto booking = deployment.call(0, makeBooking());
            CPPUNIT_ASSERT_EQUAL(502, booking.status_);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.recorder().runsOf(booking.requestId_));
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                std::size_t closed = 0;
                for (std::size_t i = 0; i < 4; ++i) {
                    closed += deployment.plain(i).closedEndlessCount();
                }
                return closed >= 2;
            }));
            CPPUNIT_ASSERT(deployment.instance(0).metrics().find("goldcrestwall_body_bytes 0") != std::string::npos);
            setFault(deployment, PlatformServerFault::None);
            CPPUNIT_ASSERT(deployment.awaitServing());
        }
    }

    void serversThatNeverEndAreAvoided()
    {
        Deployment deployment(1, 10s, TightMemoryMegabytes);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.plain(0).setFault(PlatformServerFault::EndlessBody);
        std::size_t served = 0;
        for (int i = 0; i < 40; ++i) {
            served += deployment.call(0, CallerRequest()).status_ == 200 ? 1U : 0U;
        }
        // Idempotent requests are served by other servers, and few are sent to this one.
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), served);
        CPPUNIT_ASSERT(deployment.plain(0).closedEndlessCount() <= 20);
        deployment.plain(0).setFault(PlatformServerFault::None);
    }

    void lateSecondAnswersReachNobody()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::RepeatsPreviousResponse);
        for (int i = 0; i < 30; ++i) {
            const auto lookup = deployment.call(0, CallerRequest());
            CPPUNIT_ASSERT_MESSAGE(lookup.body_, lookup.status_ != 200 || lookup.body_.find("for " + lookup.requestId_ + "\n") != std::string::npos);
            const auto booking = deployment.call(0, makeBooking());
            CPPUNIT_ASSERT_MESSAGE(booking.body_, booking.status_ != 200 || booking.body_.find("for " + booking.requestId_ + "\n") != std::string::npos);
            checkBookings(deployment, {booking});
        }
        checkNoViolations(deployment);
    }

    // The holder of a key is the only server for a retry, which has the id of the rejected request.
    void repeatedRejectionIsNoAnswerToTheNextSend()
    {
        Deployment deployment(1);
        deployment.putConfiguration(R"({"resourceType":"routes","metadata":{"name":"r-order"},"spec":{"host":"keyed.example","prefix":"/order/",
            "kind":"non_idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"sharded","maxAttempts":2}},)");
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.sharded(i).setFault(PlatformServerFault::RepeatsRejections);
        }
        CallerRequest order = makeBooking();
        order.host_ = "keyed.example";
        order.path_ = "/order/1";
        std::size_t served = 0;
        std::string failures;
        for (std::uint32_t i = 0; i < 20; ++i) {
            order.key_ = i * 3000;
            const auto answer = deployment.call(0, order);
            checkBookings(deployment, {answer});
            served += answer.status_ == 200 ? 1 : 0;
            failures += answer.status_ == 200 ? std::string() : explain(deployment, answer);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(failures, std::size_t(20), served);
    }

    // Guards against a booking that is told rejected and has run: its caller repeats it after a true rejection, and the server writes that
    // rejection once more where the answer to the repeat is due.
    void copyOfARejectionIsNoAnswerToItsCallersRepeat()
    {
        Deployment deployment(1);
        deployment.putConfiguration(R"({"resourceType":"routes","metadata":{"name":"r-once"},"spec":{"host":"keyed.example","prefix":"/once/",
            "kind":"non_idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"sharded","maxAttempts":1}},)");
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.sharded(i).setFault(PlatformServerFault::RepeatsRejections);
        }
        CallerRequest order = makeBooking();
        order.host_ = "keyed.example";
        order.path_ = "/once/1";
        std::size_t served = 0;
        for (std::uint32_t i = 0; i < 20; ++i) {
            order.key_ = i * 3000;
            order.requestId_ = "order-" + std::to_string(i);
            auto answer = deployment.call(0, order);
            CPPUNIT_ASSERT_EQUAL(503, answer.status_);
            // The key may move meanwhile, so that a repeat is truly rejected.
            for (int call = 1; call < MaxCallsOfAnOrder && answer.status_ == 503; ++call) {
                answer = deployment.call(0, order);
                checkBookings(deployment, {answer});
            }
            served += answer.status_ == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), served);
    }

    // These guard against a booking that is told rejected and has run, whenever and in whatever pieces the copy of its rejection comes.
    void lateCopiesOfRejectionsAreNoAnswersToRepeats()
    {
        checkOrders(PlatformServerFault::RepeatsRejections);
    }

    void copiesOfRejectionsInPartsAreNoAnswersToRepeats()
    {
        checkOrders(PlatformServerFault::RepeatsRejectionsInParts);
    }

    void secondCopiesOfRejectionsAreNoAnswersToRepeats()
    {
        checkOrders(PlatformServerFault::RepeatsRejectionsTwice);
    }

    void earlyCopiesOfRejectionsAreNoAnswersToRepeats()
    {
        checkOrders(PlatformServerFault::RepeatsRejectionsEarly);
    }

    // Guards against a booking that has run and is told otherwise, because the status alone is taken for the server's statement.
    void statusWithoutStatementIsNoPromise()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::MisdirectsWithoutStatement);
        const auto booking = deployment.call(0, makeBooking());
        checkBookings(deployment, {booking});
        CPPUNIT_ASSERT_EQUAL(502, booking.status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.recorder().runsOf(booking.requestId_));
    }

    // Guards against a booking that has run and is told rejected, because a rejection that names no request comes on a connection whose
    // responses have all named theirs.
    void rejectionOfNobodyOnAKeptConnectionIsNoPromise()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setFault(deployment, PlatformServerFault::SendsUnnamedRejections);
        std::size_t unknown = 0;
        for (int i = 0; i < 20; ++i) {
            const auto booking = deployment.call(0, makeBooking());
            checkBookings(deployment, {booking});
            CPPUNIT_ASSERT(booking.status_ == 200 || booking.status_ == 502);
            unknown += booking.status_ == 502 ? 1 : 0;
        }
        CPPUNIT_ASSERT(unknown > 0);
    }

    // Guards against an instance that collects and scans one caller's line without end, and serves nobody meanwhile.
    void chunkExtensionWithoutEndIsRefused()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        constexpr std::size_t ExtensionBytes = 400U << 10U;
        const std::string head = "POST /book/one HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto received = sendAndReceiveAll(deployment.instance(0).callerPort(), head + "5;x=" + std::string(ExtensionBytes, 'x'));
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, CallerRequest()).status_);
    }

    void bytesThatAreNoMessagesEndNoProcess()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto &instance = deployment.instance(0);
        std::mt19937 random(20261204);
        const auto portOf = [](const std::string &address) {
            return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        };
        const std::vector<std::uint16_t> ports{instance.callerPort(), instance.readyPort(), instance.metricsPort(), portOf(instance.peerAddress())};
        const std::string request = book("none", "Transfer-Encoding: chunked\r\n");
        // A frame of two bytes, an empty frame, and a length beyond the maximum frame size.
        const std::vector<std::string> frames{std::string("\0\0\0\2\x93\x01", 6), std::string("\0\0\0\0", 4), std::string("\x7f\xff\xff\xff zzz", 8)};
        for (int round = 0; round < 60; ++round) {
            for (const auto port : ports) {
                std::string bytes = round % 3 == 0 ? frames[random() % frames.size()] : request;
                for (int change = 0; change < 4; ++change) {
                    bytes[random() % bytes.size()] = static_cast<char>(random());
                }
                RawConnection connection(port);
                CPPUNIT_ASSERT(connection.isOpen());
                connection.send(bytes);
            }
        }
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (const auto &line : instance.logLines()) {
            CPPUNIT_ASSERT_MESSAGE(line, line.find("unexpected-error") == std::string::npos);
        }
        instance.signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, instance.wait(10s).value_or(-1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConnections);
