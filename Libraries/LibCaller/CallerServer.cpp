// Caller server: parsing of requests, limits on bodies, and responses.
#include <LibCaller/CallerServer.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/String.h>

#include <array>

namespace Goldcrestwall {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t MaxKeyBytes = 1024;
constexpr std::size_t MaxPathBytes = 8192;
constexpr int ConnectionBacklog = 256;
constexpr Duration KeepAliveTime = 30s;

// A request path split into customer, service and the rest, which starts with a slash and includes the query.
struct SplitPath
{
    CustomerId customer_;
    ServiceId service_;
    std::string rest_;
};

std::optional<SplitPath> splitPath(const std::string &path)
{
    const std::size_t second = path.find('/', 1);
    if (path.empty() || path.front() != '/' || second == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t third = path.find_first_of("/?", second + 1);
    const std::string service = path.substr(second + 1, third == std::string::npos ? std::string::npos : third - second - 1);
    if (second == 1 || service.empty()) {
        return std::nullopt;
    }
    std::string rest = third == std::string::npos ? "/" : path.substr(third);
    if (rest.front() == '?') {
        rest.insert(rest.begin(), '/');
    }
    return SplitPath{CustomerId(path.substr(1, second - 1)), ServiceId(service), rest};
}

bool isIdempotentMethod(const std::string &method)
{
    static constexpr std::array<const char *, 5> Methods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
    return std::any_of(Methods.begin(), Methods.end(), [&](const char *candidate) {
        return method == candidate;
    });
}

Result<Duration> parseTimeout(const HTTPRequest &request, const CallerLimits &limits)
{
    if (!request.has("Goldcrestwall-Timeout")) {
        return limits.defaultTimeout_;
    }
    const std::string text = request.get("Goldcrestwall-Timeout");
    const bool isNumber = !text.empty() && text.size() <= 6 && text.find_first_not_of("0123456789") == std::string::npos;
    const Duration timeout = isNumber ? Duration(std::chrono::milliseconds(std::stol(text))) : Duration::zero();
    if (timeout <= Duration::zero() || timeout > limits.maxTimeout_) {
        return RouterError::BadRequest;
    }
    return timeout;
}

Result<Idempotence> parseIdempotence(const HTTPRequest &request)
{
    if (!request.has("Goldcrestwall-Idempotent")) {
        return isIdempotentMethod(request.getMethod()) ? Idempotence::Idempotent : Idempotence::NotIdempotent;
    }
    const std::string text = request.get("Goldcrestwall-Idempotent");
    if (text != "true" && text != "false") {
        return RouterError::BadRequest;
    }
    return text == "true" ? Idempotence::Idempotent : Idempotence::NotIdempotent;
}

Result<Priority> parsePriority(const HTTPRequest &request)
{
    const std::string text = request.get("Goldcrestwall-Priority", "interactive");
    if (text != "interactive" && text != "export") {
        return RouterError::BadRequest;
    }
    return text == "export" ? Priority::Export : Priority::Interactive;
}

std::string parseCredential(const HTTPRequest &request)
{
    const std::string authorization = request.get("Authorization", {});
    constexpr std::string_view Scheme = "Bearer ";
    return authorization.starts_with(Scheme) ? authorization.substr(Scheme.size()) : std::string();
}

// Reads a body of at most `limit` bytes. Returns nothing if the body is longer, or shorter than Content-Length.
std::optional<std::string> readBody(Poco::Net::HTTPServerRequest &request, std::size_t limit)
{
    std::string body;
    // A request with neither Content-Length nor chunked encoding has no body (RFC 9112, section 6.3). Reading the stream would block until
    // the connection is closed.
    if (!request.hasContentLength() && !request.getChunkedTransferEncoding()) {
        return body;
    }
    std::array<char, 16384> buffer{};
    std::istream &input = request.stream();
    while (input.good()) {
        input.read(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
        if (body.size() > limit) {
            return std::nullopt;
        }
    }
    const bool isComplete = !request.hasContentLength() || body.size() == static_cast<std::size_t>(request.getContentLength64());
    return isComplete ? std::optional(body) : std::nullopt;
}

void sendAnswer(Poco::Net::HTTPServerResponse &response, const CallerAnswer &answer)
{
    if (answer.content_) {
        response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.content_->status_));
        response.erase("Date");
        for (const HeaderField &field : answer.content_->headers_) {
            response.add(field.name_, field.value_);
        }
        response.set("Goldcrestwall-Verdict", executionName(Execution::Ran));
        response.sendBuffer(answer.content_->body_.data(), answer.content_->body_.size());
        return;
    }
    const std::error_code reason = answer.verdict_.reason();
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(statusOf(answer.verdict_)));
    response.set("Goldcrestwall-Verdict", executionName(answer.verdict_.execution()));
    response.set("Goldcrestwall-Reason", errorName(reason));
    response.setContentType("text/plain");
    const std::string text = reason.message() + (answer.detail_.empty() ? "" : ": " + answer.detail_) + "\n";
    response.sendBuffer(text.data(), text.size());
}

class RequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    RequestHandler(const CallerLimits &limits, const CallerServer::Handler &handler, std::shared_ptr<std::atomic<int>> inFlight)
        : limits_(limits)
        , handler_(handler)
        , inFlight_(std::move(inFlight))
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        ++*inFlight_;
        const CallerAnswer answer = answerTo(request, response);
        try {
            sendAnswer(response, answer);
        } catch (const Poco::Exception &) {
            // The caller has closed the connection, so the response cannot be delivered.
        }
        --*inFlight_;
    }

private:
    CallerAnswer answerTo(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        auto parsed = parseCallerRequest(request, limits_);
        if (!parsed.isOk()) {
            response.setKeepAlive(false);
            return {std::nullopt, Verdict::notRun(RouterError::BadRequest), {}};
        }
        const bool isTooLarge = request.hasContentLength() && request.getContentLength64() > static_cast<Poco::Int64>(limits_.maxBodyBytes_);
        auto body = isTooLarge ? std::nullopt : readBody(request, limits_.maxBodyBytes_);
        if (!body) {
            // Close the connection, because the unread rest of the body would be parsed as the next request.
            response.setKeepAlive(false);
            return {std::nullopt, Verdict::notRun(RouterError::RequestTooLarge), {}};
        }
        parsed.value().content_.body_ = std::move(*body);
        return handler_(parsed.value());
    }

    const CallerLimits &limits_;
    const CallerServer::Handler &handler_;
    std::shared_ptr<std::atomic<int>> inFlight_;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    HandlerFactory(CallerLimits limits, CallerServer::Handler handler, std::shared_ptr<std::atomic<int>> inFlight)
        : limits_(limits)
        , handler_(std::move(handler))
        , inFlight_(std::move(inFlight))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new RequestHandler(limits_, handler_, inFlight_);
    }

private:
    CallerLimits limits_;
    CallerServer::Handler handler_;
    std::shared_ptr<std::atomic<int>> inFlight_;
};

} // namespace

int statusOf(const Verdict &verdict)
{
    switch (static_cast<RouterError>(verdict.reason().value())) {
    case RouterError::UnknownCustomer:
        return HTTPResponse::HTTP_UNAUTHORIZED;
    case RouterError::UnknownService:
        return HTTPResponse::HTTP_NOT_FOUND;
    case RouterError::MissingKey:
    case RouterError::BadRequest:
        return HTTPResponse::HTTP_BAD_REQUEST;
    case RouterError::RequestTooLarge:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case RouterError::OperationNotAllowed:
        return HTTPResponse::HTTP_FORBIDDEN;
    case RouterError::RateLimited:
    case RouterError::ShareExceeded:
        return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
    case RouterError::DuplicateRequest:
    case RouterError::PossibleDuplicate:
        return HTTPResponse::HTTP_CONFLICT;
    case RouterError::DeadlineExceeded:
    case RouterError::DeadlineUnreachable:
        return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
    default:
        return verdict.execution() == Execution::NotRun ? HTTPResponse::HTTP_SERVICE_UNAVAILABLE : HTTPResponse::HTTP_BAD_GATEWAY;
    }
}

Result<CallerRequest> parseCallerRequest(const HTTPRequest &request, const CallerLimits &limits)
{
    const auto path = splitPath(request.getURI());
    const auto timeout = parseTimeout(request, limits);
    const auto idempotence = parseIdempotence(request);
    const auto priority = parsePriority(request);
    CallerRequest parsed;
    parsed.key_ = request.get("Goldcrestwall-Key", {});
    parsed.id_ = RequestId(request.get("Goldcrestwall-Request-Id", {}));
    const bool isIdValid = parsed.id_.isEmpty() || timeOfRequestId(parsed.id_).has_value();
    const bool isSizeValid = parsed.key_.size() <= MaxKeyBytes && request.getURI().size() <= MaxPathBytes;
    if (!path || !timeout.isOk() || !idempotence.isOk() || !priority.isOk() || !isIdValid || !isSizeValid) {
        return RouterError::BadRequest;
    }
    parsed.access_ = {CustomerId(request.get("Goldcrestwall-Customer", {})),
                      parseCredential(request),
                      ServiceKey{path->customer_, path->service_},
                      request.getMethod(),
                      priority.value()};
    parsed.idempotence_ = idempotence.value();
    parsed.timeout_ = timeout.value();
    parsed.content_.method_ = request.getMethod();
    parsed.content_.path_ = path->rest_;
    for (const auto &[name, value] : request) {
        // The credential is not forwarded to the backend server.
        if (!isHopByHopHeader(name) && !isRouterHeader(name) && Poco::icompare(name, "Authorization") != 0) {
            parsed.content_.headers_.push_back({name, value});
        }
    }
    return parsed;
}

Result<std::unique_ptr<CallerServer>> CallerServer::create(const std::string &address, CallerLimits limits, Handler handler)
{
    try {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(address), ConnectionBacklog);
        return std::unique_ptr<CallerServer>(new CallerServer(socket, limits, std::move(handler)));
    } catch (const Poco::Exception &exception) {
        LOG(ERROR) << "cannot listen for callers on " << address << ": " << exception.displayText();
        return RouterError::InvalidSetting;
    }
}

CallerServer::CallerServer(const Poco::Net::ServerSocket &socket, CallerLimits limits, Handler handler)
    : inFlight_(std::make_shared<std::atomic<int>>(0))
    , threads_(2, limits.maxConnections_ + 1)
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(limits.maxConnections_);
    parameters->setMaxQueued(limits.maxConnections_);
    parameters->setKeepAlive(true);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setKeepAliveTimeout(Poco::Timespan(std::chrono::duration_cast<Duration>(KeepAliveTime).count()));
    parameters->setTimeout(Poco::Timespan(std::chrono::duration_cast<Duration>(KeepAliveTime).count()));
    server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(limits, std::move(handler), inFlight_), threads_, socket, parameters);
    server_->start();
}

CallerServer::~CallerServer()
{
    server_->stopAll(true);
    threads_.joinAll();
}

std::uint16_t CallerServer::port() const
{
    return server_->port();
}

void CallerServer::stopAccepting()
{
    server_->stop();
}

} // namespace Goldcrestwall
