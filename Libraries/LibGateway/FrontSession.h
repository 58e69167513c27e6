// One connection of a caller.
#pragma once

#include <LibGateway/FrontServer.h>

namespace Goldcrestwall::Gateway {

// Reads requests one after another and writes their answers. Notices when the caller leaves while a request is in progress.
class FrontSession : public std::enable_shared_from_this<FrontSession>
{
public:
    FrontSession(FrontServer &server, Tcp::socket socket);

    void start();
    // Closes the connection if no request is in progress or being read.
    void closeIfIdle();

private:
    using Parser = http::request_parser<http::string_body>;

    Task<void> serve();
    // Reads one request; returns whether there is one. Answers what cannot be read.
    Task<bool> readRequest(Parser &parser, BodyShare &share);
    // Reads the rest after the header, as far as memory is left for it.
    Task<ErrorCode> readBody(Parser &parser, BodyShare &share);
    Task<void> answerMalformed(ErrorCode error);
    Task<bool> answer(HttpResponse response, bool isKept);
    Task<void> drain();
    void watchCaller(const std::shared_ptr<RequestControl> &control);

    FrontServer &server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    RequestLimits limits_;
    TimePoint arrivedAt_;
    bool isIdle_ = true;
};

} // namespace Goldcrestwall::Gateway
