// The newest records that this instance has adopted.
#pragma once

#include <LibAssignment/LibAssignment.h>
#include <LibConfiguration/LibConfiguration.h>
#include <LibCoordination/ClusterRecord.h>
#include <LibCoordination/Messages.h>

#include <deque>
#include <map>
#include <memory>

namespace Goldcrestwall {

// The result of offering a record to the catalog.
enum class AdoptionResult {
    Adopted,
    // The catalog has this version or a newer one.
    NotNewer,
    // The content is invalid; the catalog keeps its current version.
    Malformed,
};

// Holds the newest known version of each record in decoded form. A lower version is never adopted.
class RecordCatalog
{
public:
    // Adopts a record from the store or from another instance if it is newer and valid.
    AdoptionResult adopt(const RecordValue &record, TimePoint now);

    Version versionOf(const RecordKey &key) const;
    // The encoded record; null if it is unknown.
    const RecordValue *find(const RecordKey &key) const;
    std::vector<RecordVersion> versions() const;

    // A hash over all keys and versions. Instances with equal digests are taken to have equal versions.
    std::uint64_t digest() const
    {
        return digest_;
    }

    const ClusterRecord &cluster() const
    {
        return cluster_;
    }
    const std::map<CustomerId, std::shared_ptr<const CustomerConfiguration>> &configurations() const
    {
        return configurations_;
    }
    const std::map<ServiceKey, std::shared_ptr<const ServiceRecord>> &services() const
    {
        return services_;
    }
    // Null if the customer or the service is not configured.
    const ServiceConfiguration *findConfiguration(const ServiceKey &service) const;
    const CustomerConfiguration *findCustomer(const CustomerId &customer) const;
    std::shared_ptr<const ServiceRecord> findService(const ServiceKey &service) const;

    // Incremented with every adopted record, so that readers can detect changes.
    std::uint64_t generation() const
    {
        return generation_;
    }

    // The time up to which a peer with these versions had all records of this catalog.
    TimePoint syncedUntil(const std::vector<RecordVersion> &versions, TimePoint now) const;

private:
    struct Adoption
    {
        Version version_;
        TimePoint time_;
    };
    struct Entry
    {
        RecordValue record_;
        // The latest adoptions, oldest first.
        std::deque<Adoption> adoptions_;
    };

    bool decodeRecord(const RecordValue &record);
    void updateDigest();

    std::map<RecordKey, Entry> entries_;
    ClusterRecord cluster_;
    std::map<CustomerId, std::shared_ptr<const CustomerConfiguration>> configurations_;
    std::map<ServiceKey, std::shared_ptr<const ServiceRecord>> services_;
    std::uint64_t digest_ = 0;
    std::uint64_t generation_ = 0;
};

// The change log of an encoded record; empty if the record cannot be decoded.
ChangeLog changesOfRecord(const RecordValue &record);

} // namespace Goldcrestwall
