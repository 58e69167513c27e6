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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBrokenAnswers);
