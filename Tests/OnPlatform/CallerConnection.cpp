// Sends a caller's requests over a connection that is kept open.
#include "CallerConnection.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace Goldcrestwall::OnPlatform {

namespace {

constexpr int AnswerTimeoutSeconds = 5;

Poco::Net::HTTPRequest makeMessage(const CallerRequest &request, const std::string &requestId)
{
    Poco::Net::HTTPRequest message(request.method_, request.path_, "HTTP/1.1");
    message.setHost(request.host_);
    message.set("Goldcrestwall-Request-Id", requestId);
    message.set("Goldcrestwall-Request-Deadline", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(request.callerTimeout_).count()));
    if (request.key_) {
        message.set("Goldcrestwall-Shard-Key", std::to_string(*request.key_));
    }
    if (!request.body_.empty()) {
        message.setContentLength64(static_cast<Poco::Int64>(request.body_.size()));
    }
    return message;
}

} // namespace

CallerConnection::CallerConnection(std::uint16_t port)
    : session_(std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", port))
{
    session_->setTimeout(Poco::Timespan(AnswerTimeoutSeconds, 0));
    session_->setKeepAlive(true);
}

CallerConnection::~CallerConnection() = default;

CallerAnswer CallerConnection::send(const CallerRequest &request, const std::string &requestId)
{
    CallerAnswer answer;
    answer.requestId_ = requestId;
    try {
        auto message = makeMessage(request, requestId);
        session_->sendRequest(message) << request.body_;
        Poco::Net::HTTPResponse response;
        auto &stream = session_->receiveResponse(response);
        Poco::StreamCopier::copyToString(stream, answer.body_);
        answer.status_ = response.getStatus();
        answer.namedRequestId_ = response.get("Goldcrestwall-Request-Id", requestId);
        answer.isSigned_ = response.has("Goldcrestwall-Server-Signature");
        answer.hasRetryAfter_ = response.has("Retry-After");
        answer.retryAfterSeconds_ = std::stod(response.get("Retry-After", "0"));
        answer.isConnectionClosed_ = !response.getKeepAlive();
    } catch (const Poco::Exception &) {
        answer.status_ = 0;
        session_->reset();
    }
    return answer;
}

} // namespace Goldcrestwall::OnPlatform
