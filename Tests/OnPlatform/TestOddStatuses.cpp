// Tests of router processes whose servers and store respond with statuses that are none of the protocol.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

const std::vector<std::string> OddStatuses{"000", "099", "101", "600", "999"};

void setPlainStatus(Deployment &deployment, const std::string &status)
{
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.plain(i).setStatus(status);
    }
}

} // namespace

class TestOddStatuses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOddStatuses);
    CPPUNIT_TEST(bookingIsNotKeptWaitingForAnotherAnswer);
    CPPUNIT_TEST(lookupIsServedByAnotherServer);
    CPPUNIT_TEST(interimResponseOfAnyKindIsNoAnswer);
    CPPUNIT_TEST(grantsAndReleasesAreUnanswered);
    CPPUNIT_TEST(healthCheckIsNotPassed);
    CPPUNIT_TEST(oddRequestLinesAreNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that waits until its deadline for an answer that has come, and against a status that it cannot read.
    void bookingIsNotKeptWaitingForAnotherAnswer()
    {
        Deployment deployment(1);
        for (const auto &status : OddStatuses) {
            CPPUNIT_ASSERT(deployment.awaitServing());
            setPlainStatus(deployment, status);
            const auto timed = callTimed(deployment, makeBooking());
            checkAnswer(deployment, status, 502, timed);
            CPPUNIT_ASSERT(!timed.answer_.isSigned_ && timed.answer_.body_.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.recorder().runsOf(timed.answer_.requestId_));
            setPlainStatus(deployment, "");
        }
    }

    void lookupIsServedByAnotherServer()
    {
        for (const auto &status : OddStatuses) {
            // A server that has failed is avoided, so each status needs servers that have not.
            Deployment deployment(1);
            CPPUNIT_ASSERT(deployment.awaitServing());
            deployment.plain(0).setStatus(status);
            const auto before = deployment.plain(0).arrivalCount();
            for (const auto &timed : callConcurrently(deployment, CallerRequest())) {
                checkAnswer(deployment, status, 200, timed);
                CPPUNIT_ASSERT(timed.answer_.isSigned_);
            }
            CPPUNIT_ASSERT_MESSAGE(status, deployment.plain(0).arrivalCount() > before);
        }
    }

    // What is interim may be followed by an answer, so it is waited for, and never told as the answer.
    void interimResponseOfAnyKindIsNoAnswer()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        setPlainStatus(deployment, "103");
        CallerRequest booking = makeBooking();
        booking.callerTimeout_ = 300ms;
        const auto answer = deployment.call(0, booking);
        CPPUNIT_ASSERT_EQUAL(504, answer.status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.recorder().runsOf(answer.requestId_));
    }

    // Guards against keys that two servers hold, because a grant or a release with such a response is taken to be done or not done.
    void grantsAndReleasesAreUnanswered()
    {
        Deployment deployment(1);
        for (const std::string status : {"000", "101"}) {
            CPPUNIT_ASSERT(deployment.awaitServing());
            const auto before = deployment.linesContaining("\"event\":\"grant-failed\"").size();
            auto &holder = deployment.sharded(0);
            holder.setStatus(status);
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.linesContaining("\"event\":\"grant-failed\"").size() > before;
            }));
            CPPUNIT_ASSERT(deployment.linesContaining("\"event\":\"grant-failed\"").back().find("\"outcome\":\"unanswered\"") != std::string::npos);
            holder.registerEntry("draining");
            // Longer than any hold lasts.
            bool isHeldTwice = false;
            for (const TimePoint end = monotonicNow() + 6s; monotonicNow() < end && !isHeldTwice;) {
                for (std::uint32_t key = 0; key < 65536; key += 256) {
                    // The others are looked at first, as the keys may change hands in between.
                    const bool isHeldByAnother = deployment.sharded(1).holds(key) || deployment.sharded(2).holds(key) || deployment.sharded(3).holds(key);
                    isHeldTwice = isHeldTwice || (isHeldByAnother && holder.holds(key));
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
            CPPUNIT_ASSERT_MESSAGE(status, !isHeldTwice);
            // The keys are at servers that respond as they should.
            CPPUNIT_ASSERT_MESSAGE(status, deployment.awaitServing());
            holder.setStatus("");
            holder.restart();
            holder.registerEntry();
        }
        checkNoViolations(deployment);
    }

    void healthCheckIsNotPassed()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (const std::string status : {"000", "101", "600"}) {
            deployment.plain(0).setStatus(status);
            deployment.plain(0).restart();
            const auto before = deployment.linesContaining("\"event\":\"health-checked\"").size();
            deployment.plain(0).registerEntry();
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.linesContaining("\"event\":\"health-checked\"").size() > before;
            }));
            const auto line = deployment.linesContaining("\"event\":\"health-checked\"").at(before);
            CPPUNIT_ASSERT_MESSAGE(line, line.find("\"outcome\":\"malformed\"") != std::string::npos && line.find("\"healthy\":false") != std::string::npos);
        }
        deployment.plain(0).setStatus("");
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.linesContaining("\"event\":\"health-checked\"").back().find("\"healthy\":true") != std::string::npos;
        }));
    }

    void oddRequestLinesAreNotRun()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto before = deployment.recorder().runs().size();
        const std::string fields = "Host: plain.example\r\nGoldcrestwall-Request-Id: odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        const std::vector<std::string> lines{
            "GET /plain/x HTTP/0.9",
            "GET /plain/x HTTP/2.0",
            "GET /plain/x HTTP/9.9",
            "GET /plain/x HTTP/1.",
            "GET /plain/x http/1.1",
            "GET /plain/x HTTPS/1.1",
            "GET /plain/x HTTP/1.1 ",
            "GET /plain/x",
            "GET  /plain/x HTTP/1.1",
            "GET /plain/x  HTTP/1.1",
            "GET\t/plain/x HTTP/1.1",
            "GET HTTP/1.1",
            "GET /plain/\x01 HTTP/1.1",
            " /plain/x HTTP/1.1",
            "G(T /plain/x HTTP/1.1",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 000 Odd",
            "",
        };
        for (const auto &line : lines) {
            const auto received = sendAndReceiveAll(deployment.instance(0).callerPort(), std::string(line).append("\r\n").append(fields));
            CPPUNIT_ASSERT_MESSAGE(std::string(line).append(" -> ").append(received),
                                   received.starts_with("HTTP/1.1 400") || received.starts_with("HTTP/1.1 505"));
        }
        CPPUNIT_ASSERT_EQUAL(before, deployment.recorder().runs().size());
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, CallerRequest()).status_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOddStatuses);
