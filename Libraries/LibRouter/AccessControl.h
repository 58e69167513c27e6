// Applies the customers' terms to a request.
#pragma once

#include <LibAdmission/LibAdmission.h>
#include <LibCoordination/LibCoordination.h>

#include <map>

namespace Goldcrestwall {

// What a caller claims and asks for.
struct AccessRequest
{
    CustomerId customer_;
    std::string credential_;
    ServiceKey service_;
    std::string method_;
    Priority priority_ = Priority::Interactive;

    auto operator<=>(const AccessRequest &) const = default;
};

// What the terms allow.
struct AccessGrant
{
    double share_ = 1;
    Priority priority_ = Priority::Interactive;

    auto operator<=>(const AccessGrant &) const = default;
};

// Authenticates customers and enforces rate and concurrency terms. An entry enforces its part of each limit, the limit divided by
// the number of live instances, so that the limits hold across all of them.
class AccessControl
{
public:
    // Admits a request, counting it until release() is called. Errors: UnknownCustomer, UnknownService, OperationNotAllowed,
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

// Compares two strings in a time that depends on their lengths only.
bool isEqualInConstantTime(std::string_view left, std::string_view right);

} // namespace Goldcrestwall
