// Tests of BackendClient against the backend stand-in with injected faults.
#include <LibBackend/LibBackend.h>
#include <StandIns/BackendStandIn.h>
#include <StandIns/ScriptedResponder.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;

namespace {

struct FaultCase
{
    BackendFault fault_;
    AttemptResult result_;
    Execution execution_;
};

const std::vector<FaultCase> FaultCases{
    {BackendFault::None, AttemptResult::Answered, Execution::Ran},
    {BackendFault::Sheds, AttemptResult::Shed, Execution::NotRun},
    {BackendFault::Draining, AttemptResult::Draining, Execution::NotRun},
    {BackendFault::Truncates, AttemptResult::Truncated, Execution::Ran},
    {BackendFault::OutOfOrder, AttemptResult::Lost, Execution::MayHaveRun},
    {BackendFault::Unresponsive, AttemptResult::Lost, Execution::MayHaveRun},
};

BackendCall makeCall(const std::string &correlation, FencingToken token)
{
    return {correlation, token, {}, RequestId("r"), "k", 300ms, unixNow() + 300};
}

// 101 responds to a request to switch protocols, which nobody has made.
const std::vector<std::string> OddStatuses{"000", "001", "099", "101", "600", "999", "1000", "0200", "20", "2", "", "-20", "+20", "2x0"};

// Lines of a head whose field's name has a blank or a control byte or is none, or whose value has a control byte.
const std::vector<std::string> OddFieldLines{
    "Odd Name: x",
    "Odd-Name : x",
    "Odd\tName: x",
    "Odd\001Name: x",
    "Odd\177Name: x",
    std::string("Odd\000Name: x", 11),
    "Odd\rName: x",
    "Odd\303\244: x",
    ": x",
    "no colon",
    " Leading: x",
    "A: b\r\n Continued: c",
    "A: b\001c",
    std::string("A: b\000c", 6),
    "A: b\rc",
};
// Lines that leave it open where the body ends. The body has five bytes.
const std::vector<std::string> OddFramings{
    "Content-Length: 5\r\nContent-Length: 7",
    "Content-Length: 7\r\nContent-Length: 5",
    "Content-Length: 5\r\nContent-Length : 7",
    "Content-Length: 5\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked\r\nContent-Length: 5",
    "Content-Length: 5\r\nTransfer-Encoding: gzip",
    "Content-Length: 5\r\nTransfer-Encoding : chunked",
    "Content-Length: +5",
    "Content-Length: 5x",
    "Content-Length: 0x5",
    "Content-Length: -5",
    "Content-Length: 5\r\nA: b\r\n Content-Length: 7",
};

const HttpRequestContent Request{"POST", "/visits", {}, "body"};

} // namespace

class TestBackendClient : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBackendClient);
    CPPUNIT_TEST(everyFaultHasItsResult);
    CPPUNIT_TEST(tokensFenceFormerDispatchers);
    CPPUNIT_TEST(requestForAnotherBootIsNotWritten);
    CPPUNIT_TEST(lateRequestIsRefused);
    CPPUNIT_TEST(unreachableServerIsNotWritten);
    CPPUNIT_TEST(responseCutOffAtAnyByteIsNoAnswer);
    CPPUNIT_TEST(statusThatIsNoneOfTheProtocolIsNoAnswer);
    CPPUNIT_TEST(versionThatIsNoneOfTheProtocolIsNoAnswer);
    CPPUNIT_TEST(interimResponsesAreSkipped);
    CPPUNIT_TEST(grantWithAnOddStatusIsUnanswered);
    CPPUNIT_TEST(grantWithAResponseThatIsCutOffIsUnanswered);
    CPPUNIT_TEST(headThatViolatesTheProtocolIsNoAnswer);
    CPPUNIT_TEST(grantWithAHeadThatViolatesTheProtocolIsUnanswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyFaultHasItsResult()
    {
        for (const FaultCase &fault : FaultCases) {
            BackendStandIn server("s", 0, {});
            BackendClient client(server.address(), 10);
            CPPUNIT_ASSERT(client.grant(1, 200ms).isAccepted_);
            CPPUNIT_ASSERT(client.send(Request, makeCall("first", 1)).result_ == AttemptResult::Answered);
            server.setFault(fault.fault_);
            const BackendReply reply = client.send(Request, makeCall("second", 1));
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(fault.result_), static_cast<int>(reply.result_));
            CPPUNIT_ASSERT(verdictOf(reply.result_).execution() == fault.execution_);
            // A "not run" verdict must agree with the log of requests that the server ran.
            const bool hasRun = server.log().size() == 2;
            CPPUNIT_ASSERT(fault.execution_ != Execution::NotRun || !hasRun);
            server.setFault(BackendFault::None);
            CPPUNIT_ASSERT(client.send(Request, makeCall("third", 1)).result_ == AttemptResult::Answered);
        }
    }

    void tokensFenceFormerDispatchers()
    {
        BackendStandIn server("s", 0, {});
        BackendClient client(server.address(), 10);
        CPPUNIT_ASSERT(client.send(Request, makeCall("a", 5)).result_ == AttemptResult::StaleToken);
        CPPUNIT_ASSERT(client.grant(5, 200ms).isAccepted_);
        CPPUNIT_ASSERT(client.send(Request, makeCall("b", 5)).result_ == AttemptResult::Answered);
        CPPUNIT_ASSERT(!client.grant(4, 200ms).isAccepted_);
        CPPUNIT_ASSERT(client.send(Request, makeCall("c", 4)).result_ == AttemptResult::StaleToken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.log().size());
    }

    void requestForAnotherBootIsNotWritten()
    {
        BackendStandIn server("s", 0, {});
        BackendClient client(server.address(), 10);
        client.grant(1, 200ms);
        BackendCall call = makeCall("a", 1);
        call.bootId_ = "an earlier boot";
        const BackendReply reply = client.send(Request, call);
        CPPUNIT_ASSERT(reply.result_ == AttemptResult::NotWritten);
        CPPUNIT_ASSERT(!reply.contact_.bootId_.empty());
        CPPUNIT_ASSERT(server.log().empty());
    }

    void lateRequestIsRefused()
    {
        BackendStandIn server("s", 0, {});
        BackendClient client(server.address(), 10);
        client.grant(1, 200ms);
        BackendCall call = makeCall("a", 1);
        call.deadline_ = unixNow() - 1000;
        CPPUNIT_ASSERT(client.send(Request, call).result_ == AttemptResult::Late);
        CPPUNIT_ASSERT(server.log().empty());
    }

    void responseCutOffAtAnyByteIsNoAnswer()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nGoldcrestwall-Correlation: a\r\n";
        const std::vector<std::pair<std::string, std::string>> cases{
            {"POST", head + "Content-Length: 5\r\nMore: x\r\n\r\nhello"},
            {"POST", head + "Content-Length: 0\r\nMore: x\r\n\r\n"},
            {"HEAD", head + "Content-Length: 12\r\nMore: x\r\n\r\n"},
            {"POST", "HTTP/1.1 503 Busy\r\nGoldcrestwall-Correlation: a\r\nContent-Length: 0\r\nGoldcrestwall-Refused: shed\r\n\r\n"},
        };
        for (const auto &[method, response] : cases) {
            for (std::size_t length = 0; length <= response.size(); ++length) {
                const auto reply = sendTo(method, response.substr(0, length));
                const bool isWhole = length == response.size();
                const bool isTaken = reply.result_ != AttemptResult::Lost && reply.result_ != AttemptResult::Truncated;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(method + " " + response.substr(0, length), isWhole, isTaken);
            }
        }
    }

    // Guards against a status that callers cannot read, and against a promise in a response that is none.
    void statusThatIsNoneOfTheProtocolIsNoAnswer()
    {
        const std::string rest = " Odd\r\nGoldcrestwall-Correlation: a\r\nContent-Length: 0\r\n";
        for (const std::string &status : OddStatuses) {
            for (const std::string &statement : {std::string(), std::string("Goldcrestwall-Refused: shed\r\n")}) {
                const auto reply = sendTo("POST", std::string("HTTP/1.1 ").append(status).append(rest).append(statement).append("\r\n"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(status + statement, static_cast<int>(AttemptResult::Lost), static_cast<int>(reply.result_));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(status + statement, 0, reply.answer_.status_);
            }
        }
    }

    void versionThatIsNoneOfTheProtocolIsNoAnswer()
    {
        for (const std::string version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "http/1.1", "HTTPS/1.1", "ICY", ""}) {
            const auto reply = sendTo("POST", version + " 200 OK\r\nGoldcrestwall-Correlation: a\r\nContent-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(version, static_cast<int>(AttemptResult::Lost), static_cast<int>(reply.result_));
        }
    }

    void interimResponsesAreSkipped()
    {
        constexpr int MaxSkipped = 8;
        const std::string last = "HTTP/1.1 200 OK\r\nGoldcrestwall-Correlation: a\r\nContent-Length: 3\r\n\r\nabc";
        for (const std::string status : {"100", "102", "103", "199"}) {
            std::string interim;
            for (int count = 1; count <= MaxSkipped + 1; ++count) {
                interim += "HTTP/1.1 " + status + " Wait\r\nGoldcrestwall-Correlation: a\r\n\r\n";
                const auto reply = sendTo("POST", interim + last);
                const auto expected = count <= MaxSkipped ? AttemptResult::Answered : AttemptResult::Lost;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(interim, static_cast<int>(expected), static_cast<int>(reply.result_));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(interim, std::string(count <= MaxSkipped ? "abc" : ""), reply.answer_.body_);
            }
        }
    }

    void grantWithAnOddStatusIsUnanswered()
    {
        for (const std::string &status : OddStatuses) {
            const std::string response = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n";
            const auto reply = withServer({response}, [](BackendClient &client) {
                return client.grant(1, 300ms);
            });
            CPPUNIT_ASSERT_MESSAGE(status, !reply.isAnswered_ && !reply.isAccepted_);
        }
        const auto reply = withServer({"HTTP/1.1 103 Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}, [](BackendClient &client) {
            return client.grant(1, 300ms);
        });
        CPPUNIT_ASSERT(reply.isAnswered_ && reply.isAccepted_);
    }

    void grantWithAResponseThatIsCutOffIsUnanswered()
    {
        const auto grant = [](BackendClient &client) {
            return client.grant(1, 300ms);
        };
        const std::string head = "HTTP/1.1 200 OK\r\nGoldcrestwall-Running: 3\r\n";
        const std::vector<std::string> responses{
            head + "Content-Length: 5\r\n\r\nhello",
            head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n0\r\nMore: x\r\n\r\n",
            head + "\r\nhello",
        };
        for (const auto &response : responses) {
            const bool hasLength = response.find("Content-Length") != std::string::npos || response.find("chunked") != std::string::npos;
            // Without a length, only a reset shows that the body has been cut off.
            const auto headSize = response.find("\r\n\r\n") + 4;
            for (std::size_t length = 0; length < response.size(); ++length) {
                for (const auto end : {ConnectionEnd::Orderly, ConnectionEnd::Reset}) {
                    if (end == ConnectionEnd::Orderly && !hasLength && length >= headSize) {
                        continue;
                    }
                    const auto reply = withServer({response.substr(0, length)}, grant, end);
                    CPPUNIT_ASSERT_MESSAGE(response.substr(0, length), !reply.isAnswered_ && !reply.isAccepted_);
                }
            }
            const auto reply = withServer({response}, grant);
            CPPUNIT_ASSERT_MESSAGE(response, reply.isAnswered_ && reply.isAccepted_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::uint32_t(3), reply.running_);
        }
    }

    // Guards against a field that is passed on under a name that is none, and against a body that is not the server's.
    void headThatViolatesTheProtocolIsNoAnswer()
    {
        const std::string begin = "HTTP/1.1 200 OK\r\nGoldcrestwall-Correlation: a\r\n";
        for (const auto &line : OddFieldLines) {
            expectLost(std::string(begin).append(line).append("\r\nContent-Length: 5\r\n\r\nhello"));
            expectLost(std::string(begin).append("Content-Length: 5\r\n").append(line).append("\r\n\r\nhello"));
            expectLost("HTTP/1.1 503 Busy\r\nGoldcrestwall-Correlation: a\r\nGoldcrestwall-Refused: shed\r\nContent-Length: 0\r\n" + line + "\r\n\r\n");
        }
        for (const auto &framing : OddFramings) {
            expectLost(begin + framing + "\r\n\r\nhello");
        }
        const std::string rest = "Goldcrestwall-Correlation: a\r\nContent-Length: 5\r\n\r\nhello";
        for (const std::string line :
             {"HTTP/1.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1. 200 OK", "HTTP/1.1 200 O\001K", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK"}) {
            expectLost(std::string(line).append("\r\n").append(rest));
        }
        expectLost("HTTP/1.1 200 OK\nGoldcrestwall-Correlation: a\nContent-Length: 5\n\nhello");
        // Responses of either version that obey the protocol are answers.
        for (const std::string line : {"HTTP/1.0 200 OK", "HTTP/1.1 200 OK", "HTTP/1.1 200 "}) {
            const auto reply = sendTo("POST", std::string(line).append("\r\n").append(rest));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, static_cast<int>(AttemptResult::Answered), static_cast<int>(reply.result_));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::string("hello"), reply.answer_.body_);
        }
    }

    void grantWithAHeadThatViolatesTheProtocolIsUnanswered()
    {
        for (const auto &line : OddFieldLines) {
            const auto response = std::string("HTTP/1.1 200 OK\r\n").append(line).append("\r\nContent-Length: 0\r\n\r\n");
            const auto reply = withServer({response}, [](BackendClient &client) {
                return client.grant(1, 300ms);
            });
            CPPUNIT_ASSERT_MESSAGE(line, !reply.isAnswered_ && !reply.isAccepted_);
        }
    }

    void unreachableServerIsNotWritten()
    {
        std::string address;
        {
            const BackendStandIn server("s", 0, {});
            address = server.address();
        }
        BackendClient client(address, 10);
        CPPUNIT_ASSERT(client.send(Request, makeCall("a", 1)).result_ == AttemptResult::NotWritten);
        CPPUNIT_ASSERT(!client.probe(100ms).isAnswered_);
    }

private:
    // Checks that a request with this response may have run, and that nothing of the response is kept.
    static void expectLost(const std::string &response)
    {
        const auto reply = sendTo("POST", response);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, static_cast<int>(AttemptResult::Lost), static_cast<int>(reply.result_));
        CPPUNIT_ASSERT_MESSAGE(response, reply.answer_ == HttpResponseContent());
    }

    // Sends a request to a server that answers a health check, then sends these bytes and closes the connection.
    static BackendReply sendTo(const std::string &method, const std::string &bytes)
    {
        return withServer({"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", bytes}, [&method](BackendClient &client) {
            return client.send({method, "/visits", {}, ""}, makeCall("a", 1));
        });
    }

    // Calls a server that sends one of the responses for each request, in order, and then ends the connection.
    template<typename Call>
    static std::invoke_result_t<Call, BackendClient &>
    withServer(const std::vector<std::string> &responses, Call call, ConnectionEnd end = ConnectionEnd::Orderly)
    {
        const ScriptedResponder server(responses, end);
        BackendClient client(server.address(), 10);
        return call(client);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBackendClient);
