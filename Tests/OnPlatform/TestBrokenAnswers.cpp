// Tests of router processes whose servers send responses that are cut off or violate the protocol.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

// More than the send buffer of a connection takes, so that the upload is still being written when the server resets the connection.
constexpr std::size_t LongUpload = 8U << 20U;
// Room for such uploads of all concurrent callers.
constexpr double UploadMemoryMegabytes = 1200;

// Lines of a head whose field's name has a blank or a control byte, or is none.
const std::vector<std::string> OddFieldLines{
    "Odd Name: x", "Odd-Name : x", "Content-Length : 2", "Odd\tName: x", "Odd\x01Name: x", std::string("Odd\0Name: x", 11), "Odd\x7f: x", ": x"};
// A length in a line that continues another field.
const std::string HiddenLength = "A: b\r\n Content-Length: 5\r\n";
const std::string ChunkedBody = "5\r\nwrong\r\n0\r\n\r\n";

// A deployment that takes long uploads.
class UploadDeployment : public Deployment
{
public:
    UploadDeployment()
        : Deployment(1, 10s, UploadMemoryMegabytes)
    {
        setMaxRequestBody(2 * LongUpload);
        putConfiguration();
        CPPUNIT_ASSERT(awaitServing());
    }
};

// A success with these fields and this body beside what makes it the answer to its request.
RawResponse makeRawResponse(const std::string &fields, const std::string &body, RawResponseTiming timing = RawResponseTiming::AfterRun)
{
    return {"HTTP/1.1 200 OK\r\nGoldcrestwall-Request-Id: {id}\r\nGoldcrestwall-Server-Signature: s\r\n" + fields + "\r\n" + body, timing};
}

// A response without a length, of which a part is sent before the connection is reset.
RawResponse makeCutResponse(const std::string &fields)
{
    return makeRawResponse(fields, std::string(3000, 'x'), RawResponseTiming::DuringUpload);
}

void setAllPlain(Deployment &deployment, const std::optional<RawResponse> &response)
{
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.plain(i).setRawResponse(response);
    }
}

void setAllSharded(Deployment &deployment, const std::optional<RawResponse> &response)
{
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.sharded(i).setRawResponse(response);
    }
}

// Checks that a booking that all servers answer like this is told 502 at once, has run once, and that nothing of the response is passed on.
void checkBooking(Deployment &deployment, const std::string &label, const RawResponse &response, const CallerRequest &booking)
{
    CPPUNIT_ASSERT(deployment.awaitServing());
    setAllPlain(deployment, response);
    const auto timed = callTimed(deployment, booking);
    checkAnswer(deployment, label, 502, timed);
    CPPUNIT_ASSERT_MESSAGE(label, !timed.answer_.isSigned_ && timed.answer_.body_.empty());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::size_t(1), deployment.recorder().runsOf(timed.answer_.requestId_));
    setAllPlain(deployment, std::nullopt);
}

// Checks that lookups of which one server answers some like this are all served by the others.
void checkLookups(Deployment &deployment, const std::string &label, const RawResponse &response, const CallerRequest &lookup)
{
    CPPUNIT_ASSERT(deployment.awaitServing());
    deployment.plain(0).setRawResponse(response);
    const auto before = deployment.plain(0).arrivalCount();
    for (const auto &timed : callConcurrently(deployment, lookup)) {
        checkAnswer(deployment, label, 200, timed);
        CPPUNIT_ASSERT_MESSAGE(label, timed.answer_.isSigned_ && timed.answer_.body_.ends_with(" for " + timed.answer_.requestId_ + "\n"));
    }
    CPPUNIT_ASSERT_MESSAGE(label, deployment.plain(0).arrivalCount() > before);
}

} // namespace

class TestBrokenAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBrokenAnswers);
    CPPUNIT_TEST(bookingWhoseUploadIsResetIsNotToldAPartOfTheAnswer);
    CPPUNIT_TEST(lookupWhoseUploadIsResetIsServedByAnotherServer);
    CPPUNIT_TEST(bookingIsNotToldABodyInAnUnknownTransferCoding);
    CPPUNIT_TEST(lookupWithAnUnknownTransferCodingIsServedByAnotherServer);
    CPPUNIT_TEST(bookingIsNotToldAResponseWithAContinuedLine);
    CPPUNIT_TEST(lookupWithAContinuedLineIsServedByAnotherServer);
    CPPUNIT_TEST(bookingIsNotToldAResponseWithAnOddFieldLine);
    CPPUNIT_TEST(lookupWithAnOddFieldLineIsServedByAnotherServer);
    CPPUNIT_TEST(nothingOfABrokenAnswerReachesTheCaller);
    CPPUNIT_TEST(grantWithAnOddFieldLineIsUnanswered);
    CPPUNIT_TEST(healthCheckWithAnOddFieldLineIsNotPassed);
    CPPUNIT_TEST_SUITE_END();

public:
    void bookingWhoseUploadIsResetIsNotToldAPartOfTheAnswer()
    {
        UploadDeployment deployment;
        auto booking = makeBooking();
        booking.body_.assign(LongUpload, 'u');
        for (const std::string fields : {"", "Connection: close\r\n"}) {
            checkBooking(deployment, "cut off " + fields, makeCutResponse(fields), booking);
        }
    }

    void lookupWhoseUploadIsResetIsServedByAnotherServer()
    {
        UploadDeployment deployment;
        CallerRequest lookup;
        lookup.method_ = "POST";
        lookup.body_.assign(LongUpload, 'u');
        checkLookups(deployment, "cut off", makeCutResponse(""), lookup);
    }

    void bookingIsNotToldABodyInAnUnknownTransferCoding()
    {
        Deployment deployment(1);
        for (const std::string coding : {"gzip", "xchunked", "gzip, chunked", "chunked, gzip"}) {
            for (const auto timing : {RawResponseTiming::AfterRun, RawResponseTiming::AfterRunThenClose}) {
                checkBooking(deployment, coding, makeRawResponse("Transfer-Encoding: " + coding + "\r\n", ChunkedBody, timing), makeBooking());
            }
        }
    }

    void lookupWithAnUnknownTransferCodingIsServedByAnotherServer()
    {
        Deployment deployment(1);
        const auto response = makeRawResponse("Transfer-Encoding: gzip\r\n", ChunkedBody, RawResponseTiming::AfterRunThenClose);
        checkLookups(deployment, "gzip", response, CallerRequest());
    }

    void bookingIsNotToldAResponseWithAContinuedLine()
    {
        Deployment deployment(1);
        for (const auto timing : {RawResponseTiming::AfterRun, RawResponseTiming::AfterRunThenClose}) {
            checkBooking(deployment, "hidden length", makeRawResponse(HiddenLength, "right, and more", timing), makeBooking());
        }
    }

    void lookupWithAContinuedLineIsServedByAnotherServer()
    {
        Deployment deployment(1);
        checkLookups(deployment, "hidden length", makeRawResponse(HiddenLength, "p-right, and more", RawResponseTiming::AfterRunThenClose), CallerRequest());
    }

    void bookingIsNotToldAResponseWithAnOddFieldLine()
    {
        Deployment deployment(1);
        for (const auto &line : OddFieldLines) {
            checkBooking(deployment, line, makeRawResponse(line + "\r\nContent-Length: 5\r\n", "wrong"), makeBooking());
        }
    }

    void lookupWithAnOddFieldLineIsServedByAnotherServer()
    {
        for (const auto &line : OddFieldLines) {
            // A server that has failed is avoided, so each line needs servers that have not.
            Deployment deployment(1);
            checkLookups(deployment, line, makeRawResponse(line + "\r\nContent-Length: 5\r\n", "wrong"), CallerRequest());
        }
    }

    // What a caller receives is compared byte for byte, since a client library would hide most of it.
    void nothingOfABrokenAnswerReachesTheCaller()
    {
        Deployment deployment(1);
        std::vector<RawResponse> responses{makeRawResponse(HiddenLength, "wrong, and more"), makeRawResponse("Transfer-Encoding: gzip\r\n", ChunkedBody)};
        for (const auto &line : OddFieldLines) {
            responses.push_back(makeRawResponse("Wrong: x\r\n" + line + "\r\nContent-Length: 5\r\n", "wrong"));
        }
        int number = 0;
        for (const auto &response : responses) {
            CPPUNIT_ASSERT(deployment.awaitServing());
            setAllPlain(deployment, response);
            const std::string id = "broken-" + std::to_string(++number);
            const auto received = sendAndReceiveAll(deployment.instance(0).callerPort(),
                                                    "POST /book/x HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: " + id
                                                        + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            const std::string expected = "HTTP/1.1 502 Bad Gateway\r\nGoldcrestwall-Request-Id: " + id + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response.bytes_, expected, received);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.recorder().runsOf(id));
            setAllPlain(deployment, std::nullopt);
        }
    }

    void grantWithAnOddFieldLineIsUnanswered()
    {
        Deployment deployment(1);
        for (const auto &line : OddFieldLines) {
            CPPUNIT_ASSERT(deployment.awaitServing());
            const auto before = deployment.linesContaining("\"event\":\"grant-failed\"").size();
            setAllSharded(deployment, RawResponse{"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"});
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.linesContaining("\"event\":\"grant-failed\"").size() > before;
            }));
            const auto failed = deployment.linesContaining("\"event\":\"grant-failed\"").back();
            CPPUNIT_ASSERT_MESSAGE(failed, failed.find("\"outcome\":\"unanswered\"") != std::string::npos);
            setAllSharded(deployment, std::nullopt);
        }
        checkNoViolations(deployment);
    }

    void healthCheckWithAnOddFieldLineIsNotPassed()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto &server = deployment.plain(0);
        for (const auto &line : OddFieldLines) {
            server.setRawResponse(RawResponse{"HTTP/1.1 200 OK\r\nGoldcrestwall-Instance-Id: {id}\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"});
            server.restart();
            const auto before = deployment.linesContaining("\"event\":\"health-checked\"").size();
            server.registerEntry();
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return deployment.linesContaining("\"event\":\"health-checked\"").size() > before;
            }));
            const auto checked = deployment.linesContaining("\"event\":\"health-checked\"").at(before);
            CPPUNIT_ASSERT_MESSAGE(checked, checked.find("\"outcome\":\"malformed\"") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(checked, checked.find("\"healthy\":false") != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBrokenAnswers);
