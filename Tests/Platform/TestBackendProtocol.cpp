// Tests the headers and bodies exchanged with callers and backend servers.
#include <platform/Platform.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Platform;
using Gateway::HttpRequest;
using Gateway::HttpResponse;
namespace http = Gateway::http;

namespace {

HttpResponse makeResponse(unsigned status, const std::vector<std::pair<std::string, std::string>> &headers)
{
    HttpResponse response;
    response.result(status);
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    return response;
}

ServerAnnouncement makeAnnouncement(bool isLeaving, std::optional<Duration> retryAfter, std::uint32_t unreadableHeaders)
{
    ServerAnnouncement announcement;
    announcement.isLeaving_ = isLeaving;
    announcement.retryAfter_ = retryAfter;
    announcement.unreadableHeaders_ = unreadableHeaders;
    return announcement;
}

// Without a limit, the header that names it cannot be read.
ServerAnnouncement makeLimitAnnouncement(std::optional<double> limit)
{
    ServerAnnouncement announcement;
    announcement.limit_ = limit;
    announcement.hasLimitHeader_ = true;
    announcement.unreadableHeaders_ = limit ? 0 : 1;
    return announcement;
}

} // namespace

class TestBackendProtocol : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBackendProtocol);
    CPPUNIT_TEST(responsesAreClassified);
    CPPUNIT_TEST(loadIsRead);
    CPPUNIT_TEST(announcementsAreRead);
    CPPUNIT_TEST(requestIsPassedOnUnchanged);
    CPPUNIT_TEST(callerHeadersAreRead);
    CPPUNIT_TEST(healthIsRead);
    CPPUNIT_TEST(shardCallOutcomesAreRead);
    CPPUNIT_TEST(releasesAndHealthChecksEndTheirConnections);
    CPPUNIT_TEST(releaseNamesTheTokenOfTheNewRange);
    CPPUNIT_TEST(rejectionOnAUsedConnectionDoesNotEndAGrant);
    CPPUNIT_TEST_SUITE_END();

public:
    void responsesAreClassified()
    {
        const std::pair<std::string, std::string> signature{"Goldcrestwall-Server-Signature", "s"};
        const std::pair<std::string, std::string> notRun{"Goldcrestwall-Not-Executed", "1"};
        struct Case
        {
            unsigned status_;
            std::vector<std::pair<std::string, std::string>> headers_;
            ResponseKind kind_;
        };
        const std::vector<Case> cases{
            {200, {signature}, ResponseKind::Complete},
            {204, {signature}, ResponseKind::Complete},
            {200, {}, ResponseKind::Unusable},
            {200, {signature, {"Content-Encoding", "gzip"}}, ResponseKind::Unusable},
            {500, {signature}, ResponseKind::Complete},
            {500, {}, ResponseKind::Complete},
            {404, {}, ResponseKind::Complete},
            {503, {notRun}, ResponseKind::NotRun},
            {429, {notRun}, ResponseKind::NotRun},
            {400, {notRun}, ResponseKind::NotRun},
            {503, {}, ResponseKind::Unusable},
            {429, {signature}, ResponseKind::Unusable},
            {408, {}, ResponseKind::Unusable},
            {421, {notRun}, ResponseKind::Misdirected},
            // Guards against a status that is taken for the server's statement, and against a response that contradicts itself.
            {421, {}, ResponseKind::Unusable},
            {421, {signature}, ResponseKind::Unusable},
            {200, {signature, notRun}, ResponseKind::Unusable},
            {204, {signature, notRun}, ResponseKind::Unusable},
            {504, {signature}, ResponseKind::Complete},
            {304, {signature}, ResponseKind::Complete},
            {599, {}, ResponseKind::Complete},
            // Guards against a status that callers cannot read, and against a promise in a response that is none.
            {0, {signature}, ResponseKind::Unusable},
            {0, {notRun}, ResponseKind::Unusable},
            {99, {signature}, ResponseKind::Unusable},
            {100, {signature}, ResponseKind::Unusable},
            {101, {signature}, ResponseKind::Unusable},
            {199, {notRun}, ResponseKind::Unusable},
            {600, {signature}, ResponseKind::Unusable},
            {600, {notRun}, ResponseKind::Unusable},
            {999, {}, ResponseKind::Unusable},
        };
        for (const auto &each : cases) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(each.status_), classifyResponse(makeResponse(each.status_, each.headers_)) == each.kind_);
        }
    }

    void loadIsRead()
    {
        const auto read = [](const std::string &text) {
            return readLoad(makeResponse(200, {{"Goldcrestwall-Server-Load", text}}));
        };
        CPPUNIT_ASSERT(read("3,1,8") == (Gateway::ReportedLoad{3, 1, 8, 1}));
        CPPUNIT_ASSERT(read("3,1,8,250") == (Gateway::ReportedLoad{3, 1, 8, 2.5}));
        for (const char *text : {"3,1", "a,b,c", "3,1,8,x", "-1,0,2", "3;1;8", "99999999999999999999,1,2"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !read(text));
        }
        CPPUNIT_ASSERT(!readLoad(makeResponse(200, {})));
    }

    void announcementsAreRead()
    {
        struct Case
        {
            unsigned status_;
            std::vector<std::pair<std::string, std::string>> headers_;
            ServerAnnouncement announcement_;
        };
        const std::vector<Case> cases{
            {200, {}, {}},
            {200, {{"Server-Leaving", "1"}}, makeAnnouncement(true, std::nullopt, 0)},
            {500, {{"SERVER-LEAVING", "1"}}, makeAnnouncement(true, std::nullopt, 0)},
            {421, {{"server-leaving", "1"}, {"Goldcrestwall-Instance-Id", "i-1"}}, makeAnnouncement(true, std::nullopt, 0)},
            // Another server at the address speaks of itself.
            {421, {{"server-leaving", "1"}, {"Goldcrestwall-Instance-Id", "i-2"}}, {}},
            {503, {{"Server-Leaving", "1"}, {"Retry-After", "2"}}, makeAnnouncement(true, 2s, 0)},
            {503, {{"Retry-After", "0.25"}}, makeAnnouncement(false, 250ms, 0)},
            {503, {{"Retry-After", "0"}}, makeAnnouncement(false, 0s, 0)},
            {503, {{"Retry-After", "99999999999"}}, makeAnnouncement(false, 600s, 0)},
            // Only a server that rejects the request as 503 asks to be left alone.
            {429, {{"Retry-After", "2"}}, {}},
            {200, {{"Retry-After", "2"}}, {}},
            {200, {{"Server-Leaving", "0"}}, makeAnnouncement(false, std::nullopt, 1)},
            {200, {{"Server-Leaving", "true"}}, makeAnnouncement(false, std::nullopt, 1)},
            {200, {{"Server-Leaving", ""}}, makeAnnouncement(false, std::nullopt, 1)},
            {503, {{"Server-Leaving", "11"}, {"Retry-After", "-1"}}, makeAnnouncement(false, std::nullopt, 2)},
            {503, {{"Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT"}}, makeAnnouncement(false, std::nullopt, 1)},
            {503, {{"Retry-After", ""}}, makeAnnouncement(false, std::nullopt, 1)},
            {503, {{"Retry-After", "nan"}}, makeAnnouncement(false, std::nullopt, 1)},
            {503, {{"Retry-After", "1e3"}}, makeAnnouncement(false, std::nullopt, 1)},
            {503, {{"Retry-After", "2 s"}}, makeAnnouncement(false, std::nullopt, 1)},
            {200, {{"Server-Limit", "2.7"}}, makeLimitAnnouncement(2.7)},
            {503, {{"SERVER-LIMIT", "0"}}, makeLimitAnnouncement(0)},
            {421, {{"Server-Limit", "50"}}, makeLimitAnnouncement(50)},
            {421, {{"Server-Limit", "50"}, {"Goldcrestwall-Instance-Id", "i-2"}}, {}},
            {200, {{"Server-Limit", ""}}, makeLimitAnnouncement(std::nullopt)},
            {200, {{"Server-Limit", "-1"}}, makeLimitAnnouncement(std::nullopt)},
            {200, {{"Server-Limit", "1e3"}}, makeLimitAnnouncement(std::nullopt)},
            {200, {{"Server-Limit", "nan"}}, makeLimitAnnouncement(std::nullopt)},
            {200, {{"Server-Limit", "99999999999999999999"}}, makeLimitAnnouncement(std::nullopt)},
            {200, {{"Server-Limit", "5/s"}}, makeLimitAnnouncement(std::nullopt)},
        };
        for (const auto &[status, headers, announcement] : cases) {
            const std::string message = headers.empty() ? "none" : headers.front().first + ": " + headers.front().second;
            CPPUNIT_ASSERT_MESSAGE(message, announcement == readAnnouncement(makeResponse(status, headers), "i-1"));
        }
    }

    void requestIsPassedOnUnchanged()
    {
        HttpRequest request(http::verb::post, "/a/b?c=d&e=%20f", 11);
        request.set(http::field::host, "h.example");
        request.set("Goldcrestwall-Request-Id", "77");
        request.set("Goldcrestwall-Request-Deadline", "900");
        request.set("X-Custom", "kept");
        request.set(http::field::connection, "keep-alive, X-Hop");
        request.set("X-Hop", "dropped");
        request.set(http::field::expect, "100-continue");
        request.set(http::field::transfer_encoding, "chunked");
        request.body() = "the body";
        const auto forwarded = makeServerRequest(request, "i-1", 250ms);
        CPPUNIT_ASSERT(forwarded.method() == http::verb::post);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d&e=%20f"), std::string(forwarded.target()));
        CPPUNIT_ASSERT_EQUAL(std::string("77"), std::string(forwarded["Goldcrestwall-Request-Id"]));
        CPPUNIT_ASSERT_EQUAL(std::string("250"), std::string(forwarded["Goldcrestwall-Request-Deadline"]));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), std::string(forwarded["Goldcrestwall-Target-Instance"]));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), std::string(forwarded["X-Custom"]));
        CPPUNIT_ASSERT_EQUAL(std::string("8"), std::string(forwarded[http::field::content_length]));
        for (const char *name : {"X-Hop", "Expect", "Transfer-Encoding", "Connection"}) {
            CPPUNIT_ASSERT_MESSAGE(name, forwarded[name].empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("the body"), forwarded.body());
    }

    void callerHeadersAreRead()
    {
        HttpRequest request;
        request.set("Goldcrestwall-Request-Id", "9");
        request.set("Goldcrestwall-Request-Deadline", "1500");
        request.set("Goldcrestwall-Shard-Key", "65535");
        auto headers = readCallerHeaders(request);
        CPPUNIT_ASSERT(headers.callerTimeout_ == std::optional<Duration>(1500ms));
        CPPUNIT_ASSERT(headers.key_ == std::optional<Gateway::ShardKey>(65535));
        for (const char *wrong : {"65536", "-1", "x", ""}) {
            request.set("Goldcrestwall-Shard-Key", wrong);
            request.set("Goldcrestwall-Request-Deadline", wrong == std::string("65536") ? "1e3" : wrong);
            headers = readCallerHeaders(request);
            CPPUNIT_ASSERT(!headers.key_);
            CPPUNIT_ASSERT(!headers.callerTimeout_);
        }
    }

    void healthIsRead()
    {
        const auto report = readHealth(makeResponse(200, {{"Goldcrestwall-Instance-Id", "i-1"}, {"Goldcrestwall-Warmup-Ms", "1200"}}));
        CPPUNIT_ASSERT(report.isHealthy_);
        CPPUNIT_ASSERT(report.warmupLeft_ == 1200ms);
        CPPUNIT_ASSERT(!readHealth(makeResponse(503, {})).isHealthy_);
    }

    void shardCallOutcomesAreRead()
    {
        using Gateway::ExchangeOutcome;
        using Gateway::ShardCallOutcome;
        const auto answered = [](unsigned status) {
            return Gateway::ExchangeResult{ExchangeOutcome::Answered, makeResponse(status, {}), false};
        };
        CPPUNIT_ASSERT(readShardCallOutcome(answered(200)) == ShardCallOutcome::Accepted);
        CPPUNIT_ASSERT(readShardCallOutcome(answered(409)) == ShardCallOutcome::Refused);
        CPPUNIT_ASSERT(readShardCallOutcome(answered(421)) == ShardCallOutcome::NotSent);
        // A response that does not state whether the shard call was executed leaves its outcome unknown.
        CPPUNIT_ASSERT(readShardCallOutcome(answered(500)) == ShardCallOutcome::Unanswered);
        CPPUNIT_ASSERT(readShardCallOutcome({ExchangeOutcome::Lost, {}, false}) == ShardCallOutcome::Unanswered);
        CPPUNIT_ASSERT(readShardCallOutcome({ExchangeOutcome::Malformed, {}, false}) == ShardCallOutcome::Unanswered);
        CPPUNIT_ASSERT(readShardCallOutcome({ExchangeOutcome::NotSent, {}, false}) == ShardCallOutcome::NotSent);
    }

    // Guards against a copy of the response to one call that is taken for the response to the next.
    void releasesAndHealthChecksEndTheirConnections()
    {
        CPPUNIT_ASSERT(!makeReleaseRequest("127.0.0.1:1", {}).keep_alive());
        CPPUNIT_ASSERT(!makeHealthRequest("127.0.0.1:1", "/health").keep_alive());
    }

    // Guards against a copy of an earlier rejection that makes a grant in force look never received, so that nobody waits for its end.
    void rejectionOnAUsedConnectionDoesNotEndAGrant()
    {
        for (const unsigned status : {400U, 404U, 421U}) {
            Gateway::ExchangeResult result;
            result.outcome_ = Gateway::ExchangeOutcome::Answered;
            result.response_.result(status);
            result.exchangesOnConnection_ = 1;
            CPPUNIT_ASSERT(readShardCallOutcome(result) == Gateway::ShardCallOutcome::NotSent);
            result.exchangesOnConnection_ = 2;
            CPPUNIT_ASSERT(readShardCallOutcome(result) == Gateway::ShardCallOutcome::Unanswered);
        }
    }

    void releaseNamesTheTokenOfTheNewRange()
    {
        const auto request = makeReleaseRequest("127.0.0.1:1", {{"s-0", 1, 3}, 10, 19, 8});
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"fence":8,"from":10,"to":19})"), request.body());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBackendProtocol);
