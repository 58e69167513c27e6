// Implements the construction and classification of record keys.
#include <LibCoordination/RecordKey.h>

namespace Goldcrestwall {

namespace {

constexpr std::string_view ConfigurationPrefix = "configuration/";
constexpr std::string_view ServicePrefix = "service/";

} // namespace

RecordKey clusterKey()
{
    return "cluster";
}

RecordKey configurationKey(const CustomerId &customer)
{
    return std::string(ConfigurationPrefix) + customer.value_;
}

RecordKey serviceKey(const ServiceKey &service)
{
    return std::string(ServicePrefix) + service.customer_.value_ + "/" + service.service_.value_;
}

std::optional<RecordKind> kindOfRecord(const RecordKey &key)
{
    if (key == clusterKey()) {
        return RecordKind::Cluster;
    }
    if (key.starts_with(ConfigurationPrefix)) {
        return RecordKind::Configuration;
    }
    if (key.starts_with(ServicePrefix)) {
        return RecordKind::Service;
    }
    return std::nullopt;
}

} // namespace Goldcrestwall
