// The configuration document of one customer, and functions that parse, validate and format it.
#pragma once

#include <LibBase/LibBase.h>

#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall {

// Whether requests are sent to a failure domain.
enum class DomainState : std::uint8_t {
    In,
    Out,
};

// Whether a backend server accepts requests.
enum class ServerState : std::uint8_t {
    In,
    // Accepts no new requests: its keys move to other servers, and in-flight requests complete.
    Draining,
    // Accepts no requests.
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

// Order of service when capacity is short: export requests wait first.
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
    // How many requests it runs concurrently.
    std::uint32_t slots_ = 2;
    // How many connections it accepts.
    std::uint32_t connections_ = 50;
    // How many concurrent requests it can handle after a cold start.
    std::uint32_t coldSlots_ = 1;
    // How many requests it must serve before it can handle more than `coldSlots_`.
    std::uint32_t warmupRequests_ = 20;
    TokenChecking tokenChecking_ = TokenChecking::Checks;
    ServerState state_ = ServerState::In;

    auto operator<=>(const ServerConfiguration &) const = default;
};

// A customer's access to a service, with its limits.
struct AccessPolicy
{
    CustomerId customer_;
    // Requests per second across all instances; 0 means no limit.
    double rate_ = 0;
    // In-flight requests across all instances; 0 means no limit.
    std::uint32_t concurrency_ = 0;
    // The weight of the customer's requests in the fair sharing of a busy server.
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
    // The longest time that a backend server may spend on one request. It bounds how long a transfer of ownership waits.
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
    // Returns null if the customer has no access to the service.
    const AccessPolicy *findAccessPolicy(const CustomerId &customer) const;

    auto operator<=>(const ServiceConfiguration &) const = default;
};

// What an operator may do: read only, or change the system as well.
enum class OperatorRole : std::uint8_t {
    Reader,
    Commander,
};

// A person or program that operates the customer's services.
struct OperatorConfiguration
{
    std::string name_;
    // The SHA-256 of the operator's token, in hexadecimal digits.
    std::string tokenHash_;
    OperatorRole role_ = OperatorRole::Reader;

    auto operator<=>(const OperatorConfiguration &) const = default;
};

// The complete configuration of a customer. Values in use are immutable: a change creates a new document.
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
    // Whether a server may receive new requests: both the server and its failure domain are `In`.
    bool isServing(const ServerConfiguration &server) const;
    // The ids of the serving servers of a service.
    std::vector<ServerId> servingServers(const ServiceConfiguration &service) const;

    auto operator<=>(const CustomerConfiguration &) const = default;
};

// One problem in a document.
struct ConfigurationProblem
{
    // The path of the invalid member, like "services[0].servers[3].slots".
    std::string path_;
    // What is wrong, or which values are accepted.
    std::string reason_;

    auto operator<=>(const ConfigurationProblem &) const = default;
};

// A valid parsed document, or all problems found in it.
struct ConfigurationCheck
{
    std::optional<CustomerConfiguration> configuration_;
    std::vector<ConfigurationProblem> problems_;
};

// Parses and validates a JSON document. Unknown members are reported as problems, so that a misspelt one is not silently ignored.
ConfigurationCheck checkConfiguration(std::string_view json);

// Formats a document that `checkConfiguration` parses to an equal value.
std::string formatConfiguration(const CustomerConfiguration &configuration);

// The lower-case hexadecimal SHA-256 of a credential.
std::string hashCredential(std::string_view credential);

} // namespace Goldcrestwall
