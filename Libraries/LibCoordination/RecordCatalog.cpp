// Implements the adoption and decoding of records.
#include <LibCoordination/RecordCatalog.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// How many adoptions are kept per record to determine since when a peer lacks a version.
constexpr std::size_t AdoptionHistory = 16;

} // namespace

AdoptionResult RecordCatalog::adopt(const RecordValue &record, TimePoint now)
{
    if (record.version_ <= versionOf(record.key_)) {
        return AdoptionResult::NotNewer;
    }
    if (!decodeRecord(record)) {
        return AdoptionResult::Malformed;
    }
    Entry &entry = entries_[record.key_];
    entry.record_ = record;
    entry.adoptions_.push_back({record.version_, now});
    if (entry.adoptions_.size() > AdoptionHistory) {
        entry.adoptions_.pop_front();
    }
    ++generation_;
    updateDigest();
    return AdoptionResult::Adopted;
}

Version RecordCatalog::versionOf(const RecordKey &key) const
{
    const RecordValue *record = find(key);
    return record ? record->version_ : 0;
}

const RecordValue *RecordCatalog::find(const RecordKey &key) const
{
    const auto entry = entries_.find(key);
    return entry == entries_.end() ? nullptr : &entry->second.record_;
}

std::vector<RecordVersion> RecordCatalog::versions() const
{
    std::vector<RecordVersion> versions;
    versions.reserve(entries_.size());
    for (const auto &[key, entry] : entries_) {
        versions.push_back({key, entry.record_.version_});
    }
    return versions;
}

const ServiceConfiguration *RecordCatalog::findConfiguration(const ServiceKey &service) const
{
    const CustomerConfiguration *customer = findCustomer(service.customer_);
    return customer ? customer->findService(service.service_) : nullptr;
}

const CustomerConfiguration *RecordCatalog::findCustomer(const CustomerId &customer) const
{
    const auto position = configurations_.find(customer);
    return position == configurations_.end() ? nullptr : position->second.get();
}

std::shared_ptr<const ServiceRecord> RecordCatalog::findService(const ServiceKey &service) const
{
    const auto position = services_.find(service);
    return position == services_.end() ? nullptr : position->second;
}

TimePoint RecordCatalog::syncedUntil(const std::vector<RecordVersion> &versions, TimePoint now) const
{
    std::map<RecordKey, Version> known;
    for (const RecordVersion &version : versions) {
        known[version.key_] = version.version_;
    }
    TimePoint until = now;
    for (const auto &[key, entry] : entries_) {
        const auto position = known.find(key);
        const Version peerVersion = position == known.end() ? 0 : position->second;
        for (const Adoption &adoption : entry.adoptions_) {
            if (adoption.version_ > peerVersion) {
                until = std::min(until, adoption.time_);
                break;
            }
        }
    }
    return until;
}

bool RecordCatalog::decodeRecord(const RecordValue &record)
{
    const auto kind = kindOfRecord(record.key_);
    if (!kind) {
        return false;
    }
    switch (*kind) {
    case RecordKind::Cluster: {
        auto cluster = decode<ClusterRecord>(record.value_);
        if (!cluster || !cluster->isWellFormed() || cluster->version() != record.version_) {
            return false;
        }
        cluster_ = std::move(*cluster);
        return true;
    }
    case RecordKind::Configuration: {
        const auto stored = decode<ConfigurationRecord>(record.value_);
        if (!stored || stored->version() != record.version_) {
            return false;
        }
        auto check = checkConfiguration(stored->document());
        if (!check.configuration_ || configurationKey(check.configuration_->customer_) != record.key_) {
            return false;
        }
        const CustomerId customer = check.configuration_->customer_;
        configurations_[customer] = std::make_shared<const CustomerConfiguration>(std::move(*check.configuration_));
        return true;
    }
    case RecordKind::Service: {
        auto service = decode<ServiceRecord>(record.value_);
        if (!service || !service->isWellFormed() || service->version() != record.version_) {
            return false;
        }
        const ServiceKey key{service->customer(), service->service()};
        if (serviceKey(key) != record.key_) {
            return false;
        }
        services_[key] = std::make_shared<const ServiceRecord>(std::move(*service));
        return true;
    }
    }
    return false;
}

void RecordCatalog::updateDigest()
{
    std::uint64_t digest = 0;
    for (const auto &[key, entry] : entries_) {
        // The sum of the hashes does not depend on the order of the records, so the digest could be updated per record.
        digest += stableHash(key, entry.record_.version_);
    }
    digest_ = digest;
}

ChangeLog changesOfRecord(const RecordValue &record)
{
    const auto kind = kindOfRecord(record.key_);
    if (kind == RecordKind::Cluster) {
        const auto cluster = decode<ClusterRecord>(record.value_);
        return cluster ? cluster->changes() : ChangeLog();
    }
    if (kind == RecordKind::Configuration) {
        const auto configuration = decode<ConfigurationRecord>(record.value_);
        return configuration ? configuration->changes() : ChangeLog();
    }
    const auto service = decode<ServiceRecord>(record.value_);
    return service ? service->changes() : ChangeLog();
}

} // namespace Goldcrestwall
