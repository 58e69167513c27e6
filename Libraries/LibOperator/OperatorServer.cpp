// Implements the operators' HTTP interface with Poco's HTTP server.
#include <LibOperator/OperatorServer.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

namespace Goldcrestwall {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

std::optional<std::string> readStatement(HTTPServerRequest &request)
{
    std::string text(MaxStatementBytes + 1, '\0');
    request.stream().read(text.data(), static_cast<std::streamsize>(text.size()));
    const auto count = static_cast<std::size_t>(request.stream().gcount());
    if (count > MaxStatementBytes) {
        return std::nullopt;
    }
    text.resize(count);
    return text;
}

OperatorIdentity identityOf(const HTTPServerRequest &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string authorization = request.get("Authorization", {});
    return {request.get("Goldcrestwall-Operator", {}), authorization.starts_with(Scheme) ? authorization.substr(Scheme.size()) : std::string()};
}

HTTPResponse::HTTPStatus statusOf(AnswerStatus status)
{
    switch (status) {
    case AnswerStatus::Done:
        return HTTPResponse::HTTP_OK;
    case AnswerStatus::Refused:
        return HTTPResponse::HTTP_CONFLICT;
    case AnswerStatus::Unknown:
        return HTTPResponse::HTTP_ACCEPTED;
    }
    return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

class OperatorHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    OperatorHandler(Instance &instance, StatementEvaluator &evaluator)
        : instance_(instance)
        , evaluator_(evaluator)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const std::string &path = request.getURI();
        if (path == "/metrics" && request.getMethod() == "GET") {
            updateGauges();
            send(response, HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", instance_.metrics().expose());
        } else if (path == "/health" && request.getMethod() == "GET") {
            const bool isReady = instance_.view().table() && monotonicNow() < instance_.view().leaseExpiry();
            send(response, isReady ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", isReady ? "leased\n" : "entry only\n");
        } else if (path == "/statement" && request.getMethod() == "POST") {
            handleStatement(request, response);
        } else {
            send(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "expected POST /statement, GET /metrics or GET /health\n");
        }
    }

private:
    void handleStatement(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const bool isJson = request.get("Accept", {}).find("application/json") != std::string::npos;
        const auto text = readStatement(request);
        const ParsedStatement parsed = text ? parseStatement(*text) : SyntaxProblem{MaxStatementBytes + 1, "the end of the statement"};
        Answer answer;
        HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_BAD_REQUEST;
        if (const auto *problem = std::get_if<SyntaxProblem>(&parsed)) {
            answer = Answer::refused("column " + std::to_string(problem->column_) + ": expected " + problem->expected_);
            response.setKeepAlive(false);
        } else {
            answer = evaluator_.evaluate(std::get<Statement>(parsed), identityOf(request));
            status = statusOf(answer.status_);
        }
        send(response, status, isJson ? "application/json" : "text/plain", isJson ? formatJson(answer) : formatText(answer));
    }

    void updateGauges()
    {
        const PeerCounters peers = instance_.peerCounters();
        instance_.metrics().setGauge("peer_sent_bytes", {}, static_cast<double>(peers.sentBytes_));
        instance_.metrics().setGauge("peer_received_bytes", {}, static_cast<double>(peers.receivedBytes_));
        instance_.metrics().setGauge("peer_sent_messages", {}, static_cast<double>(peers.sentMessages_));
        for (const DispatchTable::ServerView &server : instance_.dispatchers().servers()) {
            const MetricLabels labels{{"server", server.server_.server_.value_}};
            instance_.metrics().setGauge("server_running", labels, static_cast<double>(server.running_));
            instance_.metrics().setGauge("server_waiting", labels, static_cast<double>(server.queued_));
            instance_.metrics().setGauge("server_limit", labels, server.limit_);
        }
    }

    static void send(HTTPServerResponse &response, HTTPResponse::HTTPStatus status, const std::string &type, const std::string &text)
    {
        response.setStatusAndReason(status);
        response.setContentType(type);
        response.sendBuffer(text.data(), text.size());
    }

    Instance &instance_;
    StatementEvaluator &evaluator_;
};

class OperatorHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    OperatorHandlerFactory(Instance &instance, StatementEvaluator &evaluator)
        : instance_(instance)
        , evaluator_(evaluator)
    {
    }
    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new OperatorHandler(instance_, evaluator_);
    }

private:
    Instance &instance_;
    StatementEvaluator &evaluator_;
};

} // namespace

Result<std::unique_ptr<OperatorServer>> OperatorServer::create(const std::string &address, Instance &instance, std::string bootstrapTokenHash)
{
    try {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(address), 16);
        return std::unique_ptr<OperatorServer>(new OperatorServer(socket, instance, std::move(bootstrapTokenHash)));
    } catch (const Poco::Exception &exception) {
        LOG(ERROR) << "cannot listen for operators on " << address << ": " << exception.displayText();
        return RouterError::InvalidSetting;
    }
}

OperatorServer::OperatorServer(const Poco::Net::ServerSocket &socket, Instance &instance, std::string bootstrapTokenHash)
    : evaluator_(instance, std::move(bootstrapTokenHash))
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(8);
    server_ = std::make_unique<Poco::Net::HTTPServer>(new OperatorHandlerFactory(instance, evaluator_), socket, parameters);
    server_->start();
}

OperatorServer::~OperatorServer()
{
    server_->stopAll(true);
}

std::uint16_t OperatorServer::port() const
{
    return server_->port();
}

} // namespace Goldcrestwall
