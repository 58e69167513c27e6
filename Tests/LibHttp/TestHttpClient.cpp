// Tests HttpClient against a scripted server over loopback.
#include "ScriptedServer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

class TestHttpClient : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestHttpClient);
    CPPUNIT_TEST(answersAreJudged);
    CPPUNIT_TEST(statusThatIsNoneOfTheProtocolIsNoAnswer);
    CPPUNIT_TEST(versionThatIsNoneOfTheProtocolIsNoAnswer);
    CPPUNIT_TEST(interimResponsesAreSkipped);
    CPPUNIT_TEST(responseCutOffAtAnyByteIsNoAnswer);
    CPPUNIT_TEST(connectionsAreKeptOnlyWhenClean);
    CPPUNIT_TEST(copyOfAnUncorrelatedRejectionIsNoAnswer);
    CPPUNIT_TEST(copyOfARejectionIsNoAnswerToALaterSendOfItsRequest);
    CPPUNIT_TEST(connectionCarriesNoIdAgainThatItHasRejected);
    CPPUNIT_TEST(bytesBeforeTheRequestAreNoAnswer);
    CPPUNIT_TEST(closedConnectionIsNotReused);
    CPPUNIT_TEST(connectionIsNotKeptAfterARequestToCloseIt);
    CPPUNIT_TEST(idleConnectionIsNotReusedAfterItsTimeout);
    CPPUNIT_TEST(unreachableServerIsReportedAsNotSent);
    CPPUNIT_TEST(cancelEndsTheExchange);
    CPPUNIT_TEST(timedOutExchangeIsReset);
    CPPUNIT_TEST(bodiesStayWithinTheBudget);
    CPPUNIT_TEST(bytesWithoutEndAreNoAnswer);
    CPPUNIT_TEST(endlessTrickleIsTold);
    CPPUNIT_TEST_SUITE_END();

public:
    void responseCutOffAtAnyByteIsNoAnswer()
    {
        const std::vector<std::string> responses{
            makeResponse("Id: 1\r\nContent-Length: 12\r\nMore: x\r\n", "hello, world"),
            makeResponse("Id: 1\r\nContent-Length: 0\r\nMore: x\r\n", ""),
            makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"),
            "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n",
            // Without a length, only its head shows that it has been cut off.
            makeResponse("Id: 1\r\nConnection: close\r\n", ""),
        };
        for (const auto &response : responses) {
            for (std::size_t length = 0; length < response.size(); ++length) {
                for (const bool isReset : {false, true}) {
                    const auto result = runExchanges({{{response.substr(0, length)}, true, isReset}}, 1).front();
                    CPPUNIT_ASSERT_MESSAGE(response.substr(0, length), result.outcome_ != ExchangeOutcome::Answered);
                }
            }
            CPPUNIT_ASSERT(runExchanges({{{response}}}, 1).front().outcome_ == ExchangeOutcome::Answered);
        }
    }

    void bodiesStayWithinTheBudget()
    {
        // Responses may bring the sum to nine tenths of the capacity.
        const auto capacityFor = [](std::uint64_t responses) {
            return (responses * 10 + 8) / 9;
        };
        MemoryAccount account(capacityFor(1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), account.ceiling(MemoryHolder::ResponseBodies));
        {
            MemoryReservation first(account, MemoryHolder::ResponseBodies);
            CPPUNIT_ASSERT(first.tryReserveBody(300));
            CPPUNIT_ASSERT(first.tryReserveBody(250));
            MemoryReservation second(account, MemoryHolder::ResponseBodies);
            CPPUNIT_ASSERT(!second.tryReserveBody(201));
            CPPUNIT_ASSERT(second.tryReserveBody(200));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.available(MemoryHolder::ResponseBodies));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.reserved());
        // A body counts twice, as received and as forwarded, whether it has a length, is chunked or ends with the connection.
        const std::string body(300, 'x');
        const std::string chunked = "12c\r\n" + body + "\r\n0\r\n\r\n";
        for (const auto &[limit, outcome] : {std::pair(599, ExchangeOutcome::NoRoom), std::pair(600, ExchangeOutcome::Answered)}) {
            for (const auto &text :
                 {makeResponse("Content-Length: 300\r\n", body), makeResponse("Transfer-Encoding: chunked\r\n", chunked), makeResponse("", body)}) {
                account.setCapacity(capacityFor(static_cast<std::uint64_t>(limit)));
                MemoryReservation reservation(account, MemoryHolder::ResponseBodies);
                auto options = makeOptions();
                options.bodyReservation_ = &reservation;
                const auto results = runExchanges({Script{{text}}}, 1, options);
                CPPUNIT_ASSERT(results.at(0).outcome_ == outcome);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.reserved());
    }

    // The timeout of 60 s is not reached: the size limits end each exchange.
    void bytesWithoutEndAreNoAnswer()
    {
        const std::string filler = "X: " + std::string(1000, 'x') + "\r\n";
        const std::string chunk = "400\r\n" + std::string(1024, 'x') + "\r\n";
        const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
        const std::string other = makeResponse("Id: 7\r\nContent-Length: 5\r\n", "wrong");
        struct TestCase
        {
            const char *name_;
            std::string begin_;
            std::string unbounded_;
        };
        const std::vector<TestCase> cases{
            {"header", "HTTP/1.1 200 OK\r\n", filler},
            {"header without a line end", "x", std::string(1000, 'x')},
            {"interim responses", interim, interim},
            {"responses to other requests", other, other},
            {"chunks", makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", ""), chunk},
            {"body until the end of the connection", makeResponse("Id: 1\r\n", ""), filler},
            {"chunk extension", makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "5;x="), std::string(1000, 'x')},
            {"chunk length", makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "0"), std::string(1000, '0')},
            {"trailers", makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n"), filler},
            {"trailer without a line end", makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\nX"), std::string(1000, 'x')},
            {"announced length", makeResponse("Id: 1\r\nContent-Length: 99999999\r\n", ""), filler},
        };
        MemoryAccount account(1U << 20U);
        for (const auto &[name, begin, unbounded] : cases) {
            MemoryReservation reservation(account, MemoryHolder::ResponseBodies);
            auto options = makeOptions(60s);
            options.bodyReservation_ = &reservation;
            options.maxResponseBody_ = account.maxResponseBody();
            Script script{{begin}};
            script.unbounded_ = unbounded;
            const auto results = runExchanges({script}, 1, options);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("malformed"), std::string(exchangeOutcomeName(results.at(0).outcome_)));
            CPPUNIT_ASSERT_MESSAGE(name, account.reserved() <= account.capacity() / 2);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.reserved());
    }

    void endlessTrickleIsTold()
    {
        const std::vector<std::pair<std::string, bool>> cases{
            {"", false},
            {"HTTP/1.1 200 OK\r\nX: ", true},
            {makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n"), true},
            {makeResponse("Id: 1\r\n", "abc"), true},
            // The length is known, so that the server may only be slow.
            {makeResponse("Id: 1\r\nContent-Length: 9\r\n", "abc"), false},
        };
        for (const auto &[bytes, isUnbounded] : cases) {
            const auto results = runExchanges({{{bytes}, false}}, 1, makeOptions(40ms));
            CPPUNIT_ASSERT(results.at(0).outcome_ == ExchangeOutcome::Lost);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, isUnbounded, results.at(0).isUnbounded_);
        }
    }

    // Guards against late delivery: bytes that a network partition holds back after the timeout must not reach the server when the
    // partition heals. Only a reset discards them.
    void timedOutExchangeIsReset()
    {
        asio::io_context loop;
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        ErrorCode end;
        asio::co_spawn(
            loop,
            [&]() -> Task<void> {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                beast::flat_buffer buffer;
                HttpRequest request;
                co_await http::async_read(socket, buffer, request, asio::use_awaitable);
                char byte = 0;
                co_await socket.async_read_some(asio::buffer(&byte, 1), redirectErrorTo(end));
            },
            asio::detached);
        HttpClient client(loop);
        ExchangeResult result;
        asio::co_spawn(
            loop,
            [&]() -> Task<void> {
                const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
                result = co_await client.exchange(address, makeRequest(), makeOptions(30ms), std::make_shared<ExchangeHandle>());
            },
            asio::detached);
        loop.run();
        CPPUNIT_ASSERT(result.outcome_ == ExchangeOutcome::Lost);
        CPPUNIT_ASSERT(end == asio::error::connection_reset);
    }

    void answersAreJudged()
    {
        struct TestCase
        {
            const char *name_;
            Script script_;
            ExchangeOutcome outcome_;
            std::string body_;
        };
        const std::vector<TestCase> cases{
            {"with a length", {{makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc")}}, ExchangeOutcome::Answered, "abc"},
            {"in chunks", {{makeResponse("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n")}}, ExchangeOutcome::Answered, "abc"},
            {"until the end of the connection", {{makeResponse("Id: 1\r\n", "abc")}}, ExchangeOutcome::Answered, "abc"},
            {"until a reset", {{makeResponse("Id: 1\r\n", "abc")}, true, true}, ExchangeOutcome::Lost, ""},
            {"shorter than announced", {{makeResponse("Content-Length: 9\r\n", "abc")}}, ExchangeOutcome::Lost, ""},
            {"chunks without an end", {{makeResponse("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n")}}, ExchangeOutcome::Lost, ""},
            {"nothing", {{""}}, ExchangeOutcome::Lost, ""},
            {"a reset", {{""}, true, true}, ExchangeOutcome::Lost, ""},
            {"no response in time", {{""}, false}, ExchangeOutcome::Lost, ""},
            {"bytes that are no response", {{"\x01\x02\x03 garbage\r\n\r\n"}}, ExchangeOutcome::Malformed, ""},
            {"two lengths", {{makeResponse("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd")}}, ExchangeOutcome::Malformed, ""},
            {"another request's response first",
             {{makeResponse("Id: 7\r\nContent-Length: 5\r\n", "wrong") + makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc")}},
             ExchangeOutcome::Answered,
             "abc"},
            {"only another request's response", {{makeResponse("Id: 7\r\nContent-Length: 5\r\n", "wrong")}}, ExchangeOutcome::Lost, ""},
            {"an interim response first", {{"HTTP/1.1 100 Continue\r\n\r\n" + makeResponse("Content-Length: 3\r\n", "abc")}}, ExchangeOutcome::Answered, "abc"},
        };
        for (const auto &each : cases) {
            const auto results = runExchanges({each.script_}, 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                each.name_, std::string(exchangeOutcomeName(each.outcome_)), std::string(exchangeOutcomeName(results.front().outcome_)));
            if (each.outcome_ == ExchangeOutcome::Answered) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name_, each.body_, results.front().response_.body());
            }
        }
    }

    // Guards against an exchange that waits for another response until its deadline, and against a status that its caller cannot read.
    void statusThatIsNoneOfTheProtocolIsNoAnswer()
    {
        // 101 responds to a request to switch protocols, which nobody has made.
        for (const std::string status : {"000", "001", "099", "101", "600", "999", "1000", "2000", "0200", "20", "2", "", "-20", "+20", "2x0", " 200"}) {
            expectMalformed("HTTP/1.1 " + status + " Odd\r\n");
        }
        for (const std::string line : {"HTTP/1.1 200\tOK\r\n", "HTTP/1.1 \r\n", "HTTP/1.1\r\n", "HTTP/1.1  200 OK\r\n"}) {
            expectMalformed(line);
        }
    }

    void versionThatIsNoneOfTheProtocolIsNoAnswer()
    {
        for (const std::string version : {"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/11", "HTTP/1.", "http/1.1", "HTTPS/1.1", "ICY"}) {
            expectMalformed(version + " 200 OK\r\n");
        }
    }

    void interimResponsesAreSkipped()
    {
        constexpr int MaxSkipped = 8;
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        for (const std::string status : {"100", "102", "103", "104", "199"}) {
            const std::string interim = "HTTP/1.1 " + status + " Wait\r\nMore: x\r\n\r\n";
            std::string before;
            for (int count = 1; count <= MaxSkipped + 1; ++count) {
                before += interim;
                const auto results = runExchanges({{{before + clean, clean}, false}, {{clean}, false}}, 2);
                const bool isSkipped = count <= MaxSkipped;
                const std::string outcome = exchangeOutcomeName(results[0].outcome_);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(before, std::string(isSkipped ? "answered" : "malformed"), outcome);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(before, isSkipped, !results[1].isNewConnection_);
                CPPUNIT_ASSERT_MESSAGE(before, !isSkipped || results[0].response_.body() == "abc");
            }
        }
    }

    // Checks that a response with this status line ends its exchange at once and its connection, whether its body has come, comes never or
    // has no end, and whatever it states. The servers keep their connections open.
    void expectMalformed(const std::string &statusLine)
    {
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        const std::vector<std::string> rests{
            "Id: 1\r\nContent-Length: 3\r\n\r\nabc",
            "Id: 1\r\nContent-Length: 3\r\n\r\n",
            "Id: 1\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n",
            "Id: 1\r\n\r\n",
            "\r\n",
            "Id: 7\r\nContent-Length: 0\r\n\r\n",
            "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "Id: 1\r\nContent-Length: 0\r\n\r\n" + clean,
        };
        for (const auto &rest : rests) {
            const auto results = runExchanges({{{statusLine + rest, clean}, false}, {{clean}, false}}, 2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(statusLine + rest, std::string("malformed"), std::string(exchangeOutcomeName(results[0].outcome_)));
            CPPUNIT_ASSERT_MESSAGE(statusLine + rest, results[1].isNewConnection_);
        }
    }

    void connectionsAreKeptOnlyWhenClean()
    {
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        struct TestCase
        {
            const char *name_;
            std::string first_;
            bool isReused_;
        };
        const std::vector<TestCase> cases{
            {"clean", clean, true},
            {"announced close", makeResponse("Id: 1\r\nConnection: close\r\nContent-Length: 3\r\n", "abc"), false},
            {"bytes after the response", clean + "surplus", false},
            {"a second response", clean + clean, false},
            {"another request's response first", makeResponse("Id: 7\r\nContent-Length: 5\r\n", "wrong") + clean, false},
            {"an interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + clean, true},
            {"a response that names no request", makeResponse("Content-Length: 3\r\n", "abc"), false},
        };
        for (const auto &each : cases) {
            const auto results = runExchanges({{{each.first_, clean}, false}, {{clean}, false}}, 2);
            CPPUNIT_ASSERT_MESSAGE(each.name_, results[1].outcome_ == ExchangeOutcome::Answered);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name_, each.isReused_, !results[1].isNewConnection_);
        }
    }

    // Guards against a request that has run and is told rejected: a server writes an earlier rejection, which names no request, once more on
    // the connection where the next request comes.
    void copyOfAnUncorrelatedRejectionIsNoAnswer()
    {
        const std::string rejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n";
        const auto clean = makeResponse("Id: 2\r\nContent-Length: 3\r\n", "abc");
        auto other = makeOptions();
        other.correlationId_ = "2";
        const auto results = runExchanges({{{rejection, rejection + clean}, false}, {{clean, clean}, false}}, {makeOptions(), other, other});
        CPPUNIT_ASSERT_EQUAL(503U, results[0].response_.result_int());
        CPPUNIT_ASSERT(results[1].isNewConnection_);
        CPPUNIT_ASSERT_EQUAL(200U, results[1].response_.result_int());
        // A connection with correlated responses only is reused.
        CPPUNIT_ASSERT(results[2].outcome_ == ExchangeOutcome::Answered);
        CPPUNIT_ASSERT(!results[2].isNewConnection_);
    }

    // Guards against a request that has run and is told rejected: its caller repeats it after a rejection, and a copy of that rejection, which
    // has the same id, comes on the connection where the repeat is sent.
    void copyOfARejectionIsNoAnswerToALaterSendOfItsRequest()
    {
        const std::string rejection = "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n";
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        const auto results = runExchanges({{{rejection, rejection + clean}, false}, {{clean, clean}, false}}, 3);
        CPPUNIT_ASSERT_EQUAL(503U, results[0].response_.result_int());
        CPPUNIT_ASSERT(results[1].outcome_ == ExchangeOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(200U, results[1].response_.result_int());
        CPPUNIT_ASSERT(results[1].isNewConnection_);
        // A success is no promise that a copy could break.
        CPPUNIT_ASSERT(!results[2].isNewConnection_);
        // Other requests may use the connection of a rejection: the id tells them from its copy.
        auto other = makeOptions();
        other.correlationId_ = "2";
        const auto otherClean = makeResponse("Id: 2\r\nContent-Length: 3\r\n", "abc");
        const auto others = runExchanges({{{rejection, rejection + otherClean}, false}}, {makeOptions(), other});
        CPPUNIT_ASSERT(others[1].outcome_ == ExchangeOutcome::Answered);
        CPPUNIT_ASSERT(!others[1].isNewConnection_);
        CPPUNIT_ASSERT_EQUAL(200U, others[1].response_.result_int());
    }

    // Guards against a connection that remembers too little of what it has brought: only the last id, only some statuses, or too few.
    void connectionCarriesNoIdAgainThatItHasRejected()
    {
        constexpr int MostRejections = 32;
        const auto respond = [](const std::string &id, unsigned status) {
            return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n";
        };
        const auto with = [](const std::string &id) {
            auto options = makeOptions();
            options.correlationId_ = id;
            return options;
        };
        for (const unsigned status : {400U, 408U, 421U, 429U, 500U, 503U}) {
            const auto rejection = respond("a", status);
            const Script first{{rejection, respond("b", 200), respond("c", status), rejection + respond("a", 200)}, false};
            const auto results = runExchanges({first, {{respond("a", 200)}, false}}, {with("a"), with("b"), with("c"), with("a")});
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), results[2].exchangesOnConnection_);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), results[3].outcome_ == ExchangeOutcome::Answered && results[3].isNewConnection_);
            CPPUNIT_ASSERT_EQUAL(200U, results[3].response_.result_int());
        }
        std::vector<ExchangeOptions> exchanges;
        Script first{{}, false};
        for (int i = 0; i <= MostRejections; ++i) {
            exchanges.push_back(with(std::to_string(i)));
            first.responses_.push_back(respond(std::to_string(i), 503));
        }
        const auto results = runExchanges({first, {{respond(std::to_string(MostRejections), 503)}, false}}, exchanges);
        CPPUNIT_ASSERT(!results[MostRejections - 1].isNewConnection_);
        CPPUNIT_ASSERT(results[MostRejections].isNewConnection_);
    }

    // Guards against a response that was there before the request and is taken for the response to it.
    void bytesBeforeTheRequestAreNoAnswer()
    {
        const std::string greeting = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n";
        asio::io_context serverLoop;
        Tcp::acceptor acceptor(serverLoop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        Tcp::socket socket(serverLoop);
        std::jthread greeter([&] {
            acceptor.accept(socket);
            asio::write(socket, asio::buffer(greeting));
        });
        auto options = makeOptions();
        options.maySend_ = [&greeter] {
            greeter.join();
            return true;
        };
        asio::io_context loop;
        HttpClient client(loop);
        ExchangeResult result;
        asio::co_spawn(
            loop,
            [&]() -> Task<void> {
                const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
                result = co_await client.exchange(address, makeRequest(), options, std::make_shared<ExchangeHandle>());
            },
            asio::detached);
        loop.run();
        CPPUNIT_ASSERT_EQUAL(std::string("not-sent"), std::string(exchangeOutcomeName(result.outcome_)));
    }

    void closedConnectionIsNotReused()
    {
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        const auto results = runExchanges({{{clean}, true}, {{clean}, true}}, 2);
        CPPUNIT_ASSERT(results[1].outcome_ == ExchangeOutcome::Answered);
        CPPUNIT_ASSERT(results[1].isNewConnection_);
    }

    void connectionIsNotKeptAfterARequestToCloseIt()
    {
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        auto request = makeRequest();
        request.keep_alive(false);
        const auto results = runExchanges({{{clean, clean}, false}, {{clean}, false}}, 2, makeOptions(), request);
        CPPUNIT_ASSERT(results[1].outcome_ == ExchangeOutcome::Answered);
        CPPUNIT_ASSERT(results[1].isNewConnection_);
    }

    void idleConnectionIsNotReusedAfterItsTimeout()
    {
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        auto options = makeOptions();
        options.maxIdle_ = 5ms;
        CPPUNIT_ASSERT(runExchanges({{{clean, clean}, false}, {{clean}, false}}, 2, options)[1].isNewConnection_);
        // The announced timeout of 1 s is not above the safety margin, so that the connection is not reused.
        const auto brief = makeResponse("Id: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n", "abc");
        CPPUNIT_ASSERT(runExchanges({{{brief, brief}, false}, {{clean}, false}}, 2)[1].isNewConnection_);
    }

    void unreachableServerIsReportedAsNotSent()
    {
        asio::io_context loop;
        HttpClient client(loop);
        std::vector<ExchangeOutcome> outcomes;
        asio::co_spawn(
            loop,
            [&]() -> Task<void> {
                for (const char *address : {"127.0.0.1:1", "nowhere", "127.0.0.1:99999"}) {
                    const auto result = co_await client.exchange(address, makeRequest(), makeOptions(), std::make_shared<ExchangeHandle>());
                    outcomes.push_back(result.outcome_);
                }
            },
            asio::detached);
        loop.run();
        CPPUNIT_ASSERT(outcomes == std::vector<ExchangeOutcome>(3, ExchangeOutcome::NotSent));
    }

    void cancelEndsTheExchange()
    {
        asio::io_context loop;
        ScriptedServer server(loop, {{{""}, false}});
        HttpClient client(loop);
        auto handle = std::make_shared<ExchangeHandle>();
        std::optional<ExchangeOutcome> outcome;
        asio::co_spawn(
            loop,
            [&]() -> Task<void> {
                const auto result = co_await client.exchange(server.address(), makeRequest(), makeOptions(60s), handle);
                outcome = result.outcome_;
                loop.stop();
            },
            asio::detached);
        asio::co_spawn(
            loop,
            [&]() -> Task<void> {
                co_await sleepFor(loop, 50ms);
                handle->cancel();
            },
            asio::detached);
        loop.run();
        CPPUNIT_ASSERT(outcome == std::optional<ExchangeOutcome>(ExchangeOutcome::Cancelled));
        CPPUNIT_ASSERT(handle->isSent());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHttpClient);
