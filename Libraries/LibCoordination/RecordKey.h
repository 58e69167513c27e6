// The keys of records in the store.
#pragma once

#include <LibBase/LibBase.h>

#include <optional>

namespace Goldcrestwall {

// A service of a customer.
struct ServiceKey
{
    CustomerId customer_;
    ServiceId service_;

    auto operator<=>(const ServiceKey &) const = default;
    MSGPACK_DEFINE(customer_, service_)
};

// The kind of a record's content.
enum class RecordKind {
    Cluster,
    Configuration,
    Service,
};

// The key of a record, without the prefix of the deployment.
using RecordKey = std::string;

// The key of the member record, of which there is one.
RecordKey clusterKey();
RecordKey configurationKey(const CustomerId &customer);
RecordKey serviceKey(const ServiceKey &service);

// The kind of a record; empty for a key that the router does not use.
std::optional<RecordKind> kindOfRecord(const RecordKey &key);

} // namespace Goldcrestwall
