// Authentication of customers and enforcement of their terms.
#pragma once

#include <LibAdmission/LibAdmission.h>
#include <LibCoordination/LibCoordination.h>

#include <map>

namespace Goldcrestwall {

// The claimed identity and the requested operation of a caller.
struct AccessRequest
{
    CustomerId customer_;
    std::string credential_;
    ServiceKey service_;
    std::string method_;
    Priority priority_ = Priority::Interactive;

    auto operator<=>(const AccessRequest &) const = default;
};

// Share and priority granted by the terms.
struct AccessGrant
{
    double share_ = 1;
    Priority priority_ = Priority::Interactive;

    auto operator<=>(const AccessGrant &) const = default;
};

// Authenticates customers and enforces their rate and concurrency limits. Each entry enforces its part of a limit, the limit divided by
// the number of live instances, so that the limits hold across all instances.
class AccessControl
{
public:
    // Admits a request and counts it as in flight until release() is called. Errors: UnknownCustomer, UnknownService, OperationNotAllowed,
    // RateLimited, ShareExceeded.
    Result<AccessGrant> admit(const AccessRequest &request, const RoutingTable &table, TimePoint now);

    // Ends an admitted request.
    void release(const AccessRequest &request);

private:
    struct UsageKey
    {
        ServiceKey service_;
        CustomerId customer_;

        auto operator<=>(const UsageKey &) const = default;
    };
    struct Usage
    {
        RateLimiter rate_;
        std::uint32_t inFlight_ = 0;
    };

    std::map<UsageKey, Usage> usages_;
};

// Compares two strings in a time that depends only on their lengths, to prevent timing attacks on credentials.
bool isEqualInConstantTime(std::string_view left, std::string_view right);

} // namespace Goldcrestwall
