// Tests that HttpClient takes no response for an answer that is cut off or violates the protocol.
#include "ScriptedServer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

// More than the send buffer of a connection takes, so that the upload is still being written when the connection ends.
constexpr std::size_t LongUpload = 16U << 20U;

// How a server ends a connection before it has read the whole upload. Both reset it.
enum class EarlyEnd {
    Reset,
    CloseWithUnreadBytes,
};

HttpRequest makeUpload(std::size_t size)
{
    HttpRequest request(http::verb::post, "/x", 11);
    request.set(http::field::host, "h");
    request.set("Id", "1");
    request.body().assign(size, 'u');
    request.prepare_payload();
    return request;
}

// Reads the first bytes of a request, responds, waits, and ends the connection.
Task<void> respondEarly(asio::io_context &loop, Tcp::acceptor &acceptor, std::string response, Duration delay, EarlyEnd end)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 1024> bytes{};
    co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
    co_await sleepFor(loop, delay);
    if (end == EarlyEnd::Reset) {
        resetOnClose(socket);
    }
}

// Responds in two parts with a pause between them, and closes the connection.
Task<void> respondInParts(asio::io_context &loop, Tcp::acceptor &acceptor, std::string first, std::string second)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    beast::flat_buffer buffer;
    HttpRequest request;
    co_await http::async_read(socket, buffer, request, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(first), asio::use_awaitable);
    co_await sleepFor(loop, 2ms);
    ErrorCode ignored;
    co_await asio::async_write(socket, asio::buffer(second), redirectErrorTo(ignored));
}

// Reads the whole request, then responds and closes the connection.
Task<void> respondAfterUpload(Tcp::acceptor &acceptor, std::string response)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    parser.body_limit(2 * LongUpload);
    co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
}

// Sends an upload to a server that runs `serve` with its acceptor.
template<typename Serve>
ExchangeResult upload(std::size_t size, Serve serve, Duration timeout = 10s)
{
    asio::io_context loop;
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(loop, serve(loop, acceptor), asio::detached);
    HttpClient client(loop);
    ExchangeResult result;
    asio::co_spawn(
        loop,
        [&]() -> Task<void> {
            const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            result = co_await client.exchange(address, makeUpload(size), makeOptions(timeout), std::make_shared<ExchangeHandle>());
        },
        asio::detached);
    loop.run();
    return result;
}

ExchangeResult uploadToEarlyResponder(const std::string &response, Duration delay, EarlyEnd end)
{
    return upload(LongUpload, [&](asio::io_context &loop, Tcp::acceptor &acceptor) {
        return respondEarly(loop, acceptor, response, delay, end);
    });
}

std::string outcomeName(const ExchangeResult &result)
{
    return exchangeOutcomeName(result.outcome_);
}

} // namespace

class TestBrokenAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBrokenAnswers);
    CPPUNIT_TEST(bodyCutOffByAResetDuringTheUploadIsNoAnswer);
    CPPUNIT_TEST(bodyBeforeAnUploadThatTimesOutIsNoAnswer);
    CPPUNIT_TEST(wholeAnswerDuringTheUploadIsAnAnswer);
    CPPUNIT_TEST(bodyUpToAnOrderlyEndIsAnAnswer);
    CPPUNIT_TEST(bodyCutOffByAResetAtAnyByteIsNoAnswer);
    CPPUNIT_TEST(bodyInAnUnknownTransferCodingIsNoAnswer);
    CPPUNIT_TEST(lineThatContinuesAnotherIsNoAnswer);
    CPPUNIT_TEST(oddFieldLinesAreNoAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void bodyCutOffByAResetDuringTheUploadIsNoAnswer()
    {
        const std::vector<std::string> responses{
            makeResponse("Id: 1\r\n", std::string(3000, 'x')),
            makeResponse("Id: 1\r\nConnection: close\r\n", std::string(3000, 'x')),
            makeResponse("Id: 1\r\n", ""),
            "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n" + std::string(3000, 'x'),
            "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\n\r\nbusy",
            makeResponse("Id: 1\r\nContent-Length: 3001\r\n", std::string(3000, 'x')),
            makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n"),
        };
        for (const auto &response : responses) {
            for (const Duration delay : {0ms, 1ms, 5ms, 30ms}) {
                for (const auto end : {EarlyEnd::Reset, EarlyEnd::CloseWithUnreadBytes}) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string("lost"), outcomeName(uploadToEarlyResponder(response, delay, end)));
                }
            }
        }
    }

    void bodyBeforeAnUploadThatTimesOutIsNoAnswer()
    {
        const auto serve = [](asio::io_context &loop, Tcp::acceptor &acceptor) {
            return respondEarly(loop, acceptor, makeResponse("Id: 1\r\n", "abc"), 500ms, EarlyEnd::Reset);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), outcomeName(upload(LongUpload, serve, 100ms)));
    }

    // A server may respond before it has read the whole request; what says where it ends is whole, whatever becomes of the connection.
    void wholeAnswerDuringTheUploadIsAnAnswer()
    {
        const std::vector<std::string> responses{
            makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc"),
            makeResponse("Id: 1\r\nConnection: close\r\nContent-Length: 3\r\n", "abc"),
            makeResponse("Id: 1\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
            "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
        };
        for (const auto &response : responses) {
            for (const auto end : {EarlyEnd::Reset, EarlyEnd::CloseWithUnreadBytes}) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string("answered"), outcomeName(uploadToEarlyResponder(response, 5ms, end)));
            }
        }
    }

    void bodyUpToAnOrderlyEndIsAnAnswer()
    {
        for (const std::size_t size : {std::size_t(10), LongUpload}) {
            const auto result = upload(size, [](asio::io_context &, Tcp::acceptor &acceptor) {
                return respondAfterUpload(acceptor, makeResponse("Id: 1\r\n", "abc"));
            });
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcomeName(result));
            CPPUNIT_ASSERT_EQUAL(std::string("abc"), result.response_.body());
        }
        auto request = makeRequest();
        request.keep_alive(false);
        const auto results = runExchanges({{{makeResponse("Id: 1\r\n", "abc")}}}, 1, makeOptions(), request);
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcomeName(results.front()));
    }

    void bodyCutOffByAResetAtAnyByteIsNoAnswer()
    {
        const std::vector<std::string> responses{
            makeResponse("Id: 1\r\n", "hello, world"),
            makeResponse("Id: 1\r\nConnection: close\r\n", "hello, world"),
            "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nhello, world",
        };
        for (const auto &response : responses) {
            for (std::size_t length = 0; length <= response.size(); ++length) {
                const auto results = runExchanges({{{response.substr(0, length)}, true, true}}, 1);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(response.substr(0, length), std::string("lost"), outcomeName(results.front()));
            }
        }
    }

    // Guards against a body that is not the server's: the coding's bytes would be taken for the content.
    void bodyInAnUnknownTransferCodingIsNoAnswer()
    {
        const std::string body = "3\r\nabc\r\n0\r\n\r\n";
        for (const std::string coding :
             {"xchunked", "gzip", "gzip, chunked", "chunked, gzip", "identity", "", ",", "chunked, chunked", "chunked;x=1", "chunked x"}) {
            expectMalformed(makeResponse("Id: 1\r\nTransfer-Encoding: " + coding + "\r\n", body));
            expectMalformed(makeResponse("Id: 1\r\nTransfer-Encoding: " + coding + "\r\nContent-Length: 18\r\n", body));
        }
        expectMalformed(makeResponse("Id: 1\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", body));
        for (const std::string coding : {"chunked", "Chunked", " chunked\t"}) {
            const auto results = runExchanges({{{makeResponse("Id: 1\r\nTransfer-Encoding: " + coding + "\r\n", body)}, false}}, 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, std::string("answered"), outcomeName(results.front()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, std::string("abc"), results.front().response_.body());
        }
    }

    // Guards against a field that vanishes into the one before it, so that the body has another end than the server gave it.
    void lineThatContinuesAnotherIsNoAnswer()
    {
        const std::vector<std::string> heads{
            "Id: 1\r\nA: b\r\n Content-Length: 2\r\n",
            "Id: 1\r\nA: b\r\n\tContent-Length: 2\r\n",
            "Id: 1\r\nA:\r\n Content-Length: 2\r\n",
            "Id: 1\r\nA: b\r\n \r\n",
            "Id: 1\r\nContent-Length: 3\r\nA: b\r\n  more\r\n",
            "Content-Length: 3\r\nId:\r\n 1\r\n",
            " Content-Length: 2\r\nId: 1\r\n",
            "A: b\r\n Not-Run: 1\r\nId: 1\r\nContent-Length: 3\r\n",
        };
        for (const auto &head : heads) {
            expectMalformed(makeResponse(head, "abc"));
        }
        // The same in what is skipped, and at any place of the parts in which a head arrives.
        expectMalformed("HTTP/1.1 103 Wait\r\nA: b\r\n c: d\r\n\r\n" + makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc"));
        expectMalformed(makeResponse("Id: 7\r\nA: b\r\n c: d\r\nContent-Length: 0\r\n", "") + makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc"));
        expectMalformedInParts(makeResponse(heads.front(), "abc"));
        // A body may have lines that begin with blanks.
        const auto body = makeResponse("Id: 1\r\nContent-Length: 9\r\n", "a\r\n b\r\n\tc");
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcomeName(runExchanges({{{body}, false}}, 1).front()));
    }

    // Guards against a field that is passed on under a name that is none, or whose name hides it.
    void oddFieldLinesAreNoAnswer()
    {
        const std::vector<std::string> lines{
            "Bad Name: x",
            "Bad-Name : x",
            "Content-Length : 2",
            "Bad\tName: x",
            "Bad\001Name: x",
            "Bad\177Name: x",
            std::string("Bad\000Name: x", 11),
            "Bad\rName: x",
            "B\303\244d: x",
            ": x",
            "no colon",
            "Bad\"Name: x",
            "(Bad): x",
            "A: b\001c",
            std::string("A: b\000c", 6),
            "A: b\177c",
            "A: b\rc",
            "A: b\n C: d",
            "\013A: b",
            "Transfer-Encoding : chunked",
        };
        for (const auto &line : lines) {
            expectMalformed(makeResponse(line + "\r\nId: 1\r\nContent-Length: 3\r\n", "abc"));
            expectMalformed(makeResponse("Id: 1\r\nContent-Length: 3\r\n" + line + "\r\n", "abc"));
        }
    }

private:
    // Sends a response in two parts, for each place where it can be cut.
    static void expectMalformedInParts(const std::string &response)
    {
        for (std::size_t length = 1; length < response.size(); ++length) {
            const auto result = upload(10, [&](asio::io_context &loop, Tcp::acceptor &acceptor) {
                return respondInParts(loop, acceptor, response.substr(0, length), response.substr(length));
            });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(length), std::string("malformed"), outcomeName(result));
        }
    }

    // Checks that a response ends its exchange at once, although its server keeps the connection open, and that the connection is not kept.
    static void expectMalformed(const std::string &response)
    {
        const auto clean = makeResponse("Id: 1\r\nContent-Length: 3\r\n", "abc");
        const auto results = runExchanges({{{response, clean}, false}, {{clean}, false}}, 2);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string("malformed"), outcomeName(results[0]));
        CPPUNIT_ASSERT_MESSAGE(response, results[1].isNewConnection_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBrokenAnswers);
