// Reads a response from a session of POCO.
#include "SessionReader.h"

#include "ResponseHead.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

namespace Goldcrestwall::Gateway {

namespace {

constexpr std::size_t MaxHeadBytes = 64U << 10U;
// The parser itself limits neither chunk extensions nor lines of trailers.
constexpr std::size_t MaxUnparsedBytes = 2 * MaxHeadBytes;
// Maximum number of interim responses that are skipped.
constexpr int MaxInterimResponses = 8;

void throwOnError(ErrorCode error)
{
    if (error) {
        throw Poco::Net::MessageException("the response is cut off or violates the protocol", error.message());
    }
}

// Reads up to and with the empty line that ends a head. POCO takes the end of the connection for that line.
std::string readHeadText(std::istream &stream)
{
    std::string head;
    for (std::string line; head.size() <= MaxHeadBytes && std::getline(stream, line);) {
        head += line + '\n';
        if (!stream.eof() && (line.empty() || line == "\r")) {
            return head;
        }
    }
    throw Poco::Net::MessageException("the response's head is too long or has no end");
}

} // namespace

// Passes a head that a session reads on to the reader. Tells the session only the status and whether the connection stays open, so that it does not
// look for the end of the body itself.
class SessionReader::Head final : public Poco::Net::HTTPResponse
{
public:
    explicit Head(SessionReader &reader)
        : reader_(reader)
    {
    }

    void read(std::istream &stream) override
    {
        const unsigned status = reader_.parseHead(readHeadText(stream));
        const auto &response = reader_.response();
        setVersion(response.version() == 10 ? HTTP_1_0 : HTTP_1_1);
        setKeepAlive(response.keep_alive());
        // The session reads on after a response with this status only.
        setStatus(status < HTTP_OK ? HTTP_CONTINUE : static_cast<HTTPStatus>(status));
    }

private:
    SessionReader &reader_;
};

SessionReader::SessionReader(Poco::Net::HTTPClientSession &session, ExpectedBody expected, std::uint64_t maxBody)
    : session_(session)
    , expected_(expected)
    , maxBody_(maxBody)
{
}

unsigned SessionReader::parseHead(std::string_view head)
{
    throwOnError(checkHeadLines(head));
    parser_.emplace();
    parser_->header_limit(MaxUnparsedBytes);
    parser_->body_limit(maxBody_);
    parser_->skip(expected_ == ExpectedBody::None);
    ErrorCode error;
    parser_->put(asio::buffer(head.data(), head.size()), error);
    throwOnError(error);
    throwOnError(checkResponseHead(parser_->get()));
    const unsigned status = parser_->get().result_int();
    if (status < Poco::Net::HTTPResponse::HTTP_OK && ++interimResponses_ > MaxInterimResponses) {
        throw Poco::Net::MessageException("too many interim responses");
    }
    return status;
}

void SessionReader::readHead()
{
    Head head(*this);
    input_ = &session_.receiveResponse(head);
}

void SessionReader::readBody()
{
    parser_->eager(true);
    while (!parser_->is_done()) {
        if (receive()) {
            parseReceived();
        } else {
            ErrorCode error;
            parser_->put_eof(error);
            throwOnError(error);
        }
    }
}

bool SessionReader::receive()
{
    auto *buffer = input_->rdbuf();
    // Unlike a read from the stream, this does not hide that the connection has failed.
    if (buffer->sgetc() == std::istream::traits_type::eof()) {
        return false;
    }
    std::string bytes(static_cast<std::size_t>(buffer->in_avail()), '\0');
    buffer->sgetn(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    unparsed_ += bytes;
    return true;
}

void SessionReader::parseReceived()
{
    ErrorCode error;
    const std::size_t size = parser_->put(asio::buffer(unparsed_), error);
    unparsed_.erase(0, size);
    if (error == http::error::need_more && unparsed_.size() <= MaxUnparsedBytes) {
        return;
    }
    throwOnError(error);
}

bool SessionReader::isReusable() const
{
    const bool hasSurplus = !unparsed_.empty() || input_->rdbuf()->in_avail() > 0;
    return parser_->is_done() && !parser_->need_eof() && parser_->keep_alive() && !hasSurplus;
}

} // namespace Goldcrestwall::Gateway
