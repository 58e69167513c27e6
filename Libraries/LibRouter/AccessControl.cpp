// Access control: credentials, terms and the limits of this instance.
#include <LibRouter/AccessControl.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

bool isAuthentic(const AccessRequest &request, const RoutingTable &table)
{
    const auto customer = table.customers().find(request.customer_);
    return customer != table.customers().end() && isEqualInConstantTime(hashCredential(request.credential_), customer->second->credentialHash_);
}

// This instance's part of a concurrency limit. The parts of all live members add up to exactly the limit.
std::uint32_t concurrencyPart(std::uint32_t limit, const RoutingTable &table)
{
    const std::vector<Member> members = table.cluster().liveMembers();
    if (members.empty()) {
        return limit;
    }
    const auto count = static_cast<std::uint32_t>(members.size());
    const auto rank = static_cast<std::uint32_t>(std::count_if(members.begin(), members.end(), [&](const Member &member) {
        return member.incarnation_ < table.self();
    }));
    return limit / count + (rank < limit % count ? 1 : 0);
}

} // namespace

Result<AccessGrant> AccessControl::admit(const AccessRequest &request, const RoutingTable &table, TimePoint now)
{
    if (!isAuthentic(request, table)) {
        return RouterError::UnknownCustomer;
    }
    const ServiceRoute *route = table.find(request.service_);
    const AccessPolicy *policy = route ? route->configuration_->findAccessPolicy(request.customer_) : nullptr;
    if (!policy) {
        // Without terms, the error does not reveal whether the service exists.
        return RouterError::UnknownService;
    }
    const auto &operations = policy->operations_;
    if (!operations.empty() && std::find(operations.begin(), operations.end(), request.method_) == operations.end()) {
        return RouterError::OperationNotAllowed;
    }
    const std::size_t instances = std::max<std::size_t>(1, table.cluster().liveMembers().size());
    const std::uint32_t concurrency = concurrencyPart(policy->concurrency_, table);
    Usage &usage = usages_.try_emplace(UsageKey{request.service_, request.customer_}, Usage{RateLimiter(now), 0}).first->second;
    if (policy->concurrency_ > 0 && usage.inFlight_ >= concurrency) {
        return RouterError::ShareExceeded;
    }
    if (!usage.rate_.tryTake(policy->rate_, instances, now)) {
        return RouterError::RateLimited;
    }
    ++usage.inFlight_;
    return AccessGrant{policy->share_, std::max(request.priority_, policy->priority_)};
}

void AccessControl::release(const AccessRequest &request)
{
    const auto usage = usages_.find(UsageKey{request.service_, request.customer_});
    CHECK(usage != usages_.end() && usage->second.inFlight_ > 0) << "release without admission";
    --usage->second.inFlight_;
}

bool isEqualInConstantTime(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t index = 0; index < std::min(left.size(), right.size()); ++index) {
        difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

} // namespace Goldcrestwall
