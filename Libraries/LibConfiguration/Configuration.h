// The configuration document of one customer.
#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall {

// Whether traffic may reach a failure domain.
enum class DomainState : std::uint8_t {
    In,
    Out,
};

// Whether a backend server takes work.
enum class ServerState : std::uint8_t {
    In,
    // Takes no new work; what it owns moves away; work in flight ends.
    Draining,
    // Takes no work at all.
    Out,
};

// How a service chooses a backend server.
enum class ServiceKind : std::uint8_t {
    // Each key has one owning server.
    Keyed,
    // Any server may serve any request.
    Shared,
};

// Whether backend servers compare the fencing token of a request with the highest one they have accepted.
enum class TokenChecking : std::uint8_t {
    Checks,
    Ignores,
};

// Who waits first when capacity is short.
enum class Priority : std::uint8_t {
    Interactive,
    Export,
};

// A failure domain.
struct DomainConfiguration
{
    DomainId id_;
    DomainState state_ = DomainState::In;

    auto operator<=>(const DomainConfiguration &) const = default;
};

// A backend server ("target").
struct ServerConfiguration
{
    ServerId id_;
    // IP number and port, for example "10.0.0.7:8080".
    std::string address_;
    DomainId domain_;
    // How many requests it runs at once.
    std::uint32_t slots_ = 2;
    // How many connections it accepts.
    std::uint32_t connections_ = 50;
    // How many requests it bears at once after a cold start.
    std::uint32_t coldSlots_ = 1;
    // How many requests it serves before it bears more than that.
    std::uint32_t warmupRequests_ = 20;
    TokenChecking tokenChecking_ = TokenChecking::Checks;
    ServerState state_ = ServerState::In;

    auto operator<=>(const ServerConfiguration &) const = default;
};

// The terms under which a customer may use a service.
struct AccessPolicy
{
    CustomerId customer_;
    // Requests per second across all instances; 0 means no limit.
    double rate_ = 0;
    // Requests in progress across all instances; 0 means no limit.
    std::uint32_t concurrency_ = 0;
    // The relative share of a busy server.
    double share_ = 1;
    // The HTTP methods allowed; empty allows all.
    std::vector<std::string> operations_;
    // The highest priority the customer's requests may claim.
    Priority priority_ = Priority::Interactive;

    auto operator<=>(const AccessPolicy &) const = default;
};

// A service and its backend servers.
struct ServiceConfiguration
{
    ServiceId id_;
    ServiceKind kind_ = ServiceKind::Keyed;
    SliceIndex sliceCount_ = 256;
    // The longest time a backend server may spend on one request. It bounds how long a move of ownership waits.
    std::uint32_t maxExecutionMilliseconds_ = 1000;
    std::uint32_t queueLength_ = 64;
    std::uint32_t queueMilliseconds_ = 2000;
    std::vector<ServerConfiguration> servers_;
    std::vector<AccessPolicy> accessPolicies_;

    Duration maxExecution() const
    {
        return std::chrono::milliseconds(maxExecutionMilliseconds_);
    }
    const ServerConfiguration *findServer(const ServerId &server) const;
    // The terms of a customer; null when it has none and therefore no access.
    const AccessPolicy *findAccessPolicy(const CustomerId &customer) const;

    auto operator<=>(const ServiceConfiguration &) const = default;
};

// What an operator may do.
enum class OperatorRole : std::uint8_t {
    Reader,
    Commander,
};

// A person or program that operates the customer's part of the system.
struct OperatorConfiguration
{
    std::string name_;
    // The SHA-256 of the operator's token, in hexadecimal digits.
    std::string tokenHash_;
    OperatorRole role_ = OperatorRole::Reader;

    auto operator<=>(const OperatorConfiguration &) const = default;
};

// Everything a customer has configured. Values are immutable in use: a change makes a new document.
struct CustomerConfiguration
{
    CustomerId customer_;
    // The SHA-256 of the customer's credential, in hexadecimal digits.
    std::string credentialHash_;
    std::vector<OperatorConfiguration> operators_;
    std::vector<DomainConfiguration> domains_;
    std::vector<ServiceConfiguration> services_;

    const ServiceConfiguration *findService(const ServiceId &service) const;
    DomainState domainState(const DomainId &domain) const;
    // Whether a server may take new work: itself and its domain are in.
    bool isServing(const ServerConfiguration &server) const;
    // The ids of the serving servers of a service.
    std::vector<ServerId> servingServers(const ServiceConfiguration &service) const;

    auto operator<=>(const CustomerConfiguration &) const = default;
};

// One thing wrong with a document.
struct ConfigurationProblem
{
    // Where, as a path like "services[0].servers[3].slots".
    std::string path_;
    // What is wrong and what would be accepted.
    std::string reason_;

    auto operator<=>(const ConfigurationProblem &) const = default;
};

// A parsed document, or everything that is wrong with it.
struct ConfigurationCheck
{
    std::optional<CustomerConfiguration> configuration_;
    std::vector<ConfigurationProblem> problems_;
};

// Parses and checks a JSON document as a whole. Unknown members are problems too, so that a misspelt one is not ignored.
ConfigurationCheck checkConfiguration(std::string_view json);

// Writes a document that checkConfiguration reads back to an equal value.
std::string formatConfiguration(const CustomerConfiguration &configuration);

// The lower-case hexadecimal SHA-256 of a credential.
std::string hashCredential(std::string_view credential);

} // namespace Goldcrestwall
