// The HTTP server for operators: statements, metrics and health.
#pragma once

#include <LibOperator/StatementEvaluator.h>

#include <Poco/Net/HTTPServer.h>

#include <memory>

namespace Goldcrestwall {

// POST /statement executes the statement in the request body; GET /metrics and GET /health need no authentication. Answers to
// statements are plain text, or JSON if the Accept header contains application/json.
class OperatorServer
{
public:
    // Errors: InvalidSetting if the address cannot be bound.
    static Result<std::unique_ptr<OperatorServer>> create(const std::string &address, Instance &instance, std::string bootstrapTokenHash);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    std::uint16_t port() const;

private:
    OperatorServer(const Poco::Net::ServerSocket &socket, Instance &instance, std::string bootstrapTokenHash);

    StatementEvaluator evaluator_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Goldcrestwall
