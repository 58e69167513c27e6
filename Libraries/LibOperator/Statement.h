// The statements of the operators' language, documented in docs/operators/LANGUAGE.md, and their parser.
#pragma once

#include <LibConfiguration/LibConfiguration.h>
#include <LibCoordination/LibCoordination.h>

#include <string>
#include <string_view>
#include <variant>

namespace Goldcrestwall {

// who owns KEY of CUSTOMER/SERVICE
struct WhoOwns
{
    ServiceKey service_;
    std::string key_;

    auto operator<=>(const WhoOwns &) const = default;
};

// why request ID
struct WhyRequest
{
    RequestId id_;

    auto operator<=>(const WhyRequest &) const = default;
};

// The topics of `show` statements.
enum class Topic {
    Owners,
    Leases,
    Queues,
    Limits,
    Domains,
    Instances,
    Versions,
    Changes,
    Requests,
};

// show TOPIC
struct Show
{
    Topic topic_ = Topic::Instances;

    auto operator<=>(const Show &) const = default;
};

// take domain DOMAIN of CUSTOMER out, bring domain DOMAIN of CUSTOMER back
struct SetDomainState
{
    CustomerId customer_;
    DomainId domain_;
    DomainState state_ = DomainState::In;

    auto operator<=>(const SetDomainState &) const = default;
};

// drain server SERVER of CUSTOMER/SERVICE, take server SERVER of CUSTOMER/SERVICE out, bring server SERVER of CUSTOMER/SERVICE in
struct SetServerState
{
    ServiceKey service_;
    ServerId server_;
    ServerState state_ = ServerState::In;

    auto operator<=>(const SetServerState &) const = default;
};

// move key KEY of CUSTOMER/SERVICE to SERVER
struct MoveKey
{
    ServiceKey service_;
    std::string key_;
    ServerId to_;

    auto operator<=>(const MoveKey &) const = default;
};

// check configuration JSON
struct CheckDocument
{
    std::string document_;

    auto operator<=>(const CheckDocument &) const = default;
};

// put configuration [at version N] [because "TEXT"] JSON
struct PutDocument
{
    std::string document_;

    auto operator<=>(const PutDocument &) const = default;
};

// is configuration of CUSTOMER in force
struct IsInForce
{
    CustomerId customer_;

    auto operator<=>(const IsInForce &) const = default;
};

using StatementContent = std::variant<WhoOwns, WhyRequest, Show, SetDomainState, SetServerState, MoveKey, CheckDocument, PutDocument, IsInForce>;

// A parsed statement. Commands may carry the version that the operator has seen and a reason.
struct Statement
{
    StatementContent content_;
    // The version that the changed record must have. Without it, a command applies to any version.
    std::optional<Version> version_;
    std::string reason_;

    bool operator==(const Statement &) const = default;

    // Whether the statement is a command, that is, changes anything.
    bool isCommand() const;
};

// The position of a syntax error and what was expected there.
struct SyntaxProblem
{
    // In bytes, starting at 1.
    std::size_t column_ = 1;
    std::string expected_;

    auto operator<=>(const SyntaxProblem &) const = default;
};

// A parsed statement, or the syntax error.
using ParsedStatement = std::variant<Statement, SyntaxProblem>;

// Maximum length of a statement, in bytes.
constexpr std::size_t MaxStatementBytes = 600 * 1024;

ParsedStatement parseStatement(std::string_view text);

} // namespace Goldcrestwall
