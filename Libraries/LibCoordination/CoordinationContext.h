// State shared by the parts of the control plane: identity, settings, adopted records and pending actions.
#pragma once

#include <LibCoordination/Actions.h>
#include <LibCoordination/DutyAssignment.h>
#include <LibCoordination/RecordCatalog.h>

#include <random>

namespace Goldcrestwall {

// The settings of one instance's control plane.
struct CoordinatorSettings
{
    InstanceId instance_;
    // IP number and port for other instances.
    std::string address_;
    DomainId domain_;
    // Addresses of the instances from which an instance that is no member requests records, so that it gets them also while the store is
    // unavailable.
    std::vector<std::string> seeds_;
    LeaseTerms terms_;
    // A witness stops renewing a holder that has lacked a record for this long.
    Duration syncLimit_ = 1500ms;
    // How often a watcher polls the versions of the records in the store.
    Duration pollInterval_ = 500ms;
    // How many members of each failure domain poll the store.
    std::size_t watchersPerDomain_ = 2;
    // How long a takeover waits for a majority of witnesses before it relies on the platform's list or on token checks.
    Duration sealTimeout_ = 1500ms;
    // How long a member must be absent from the platform's list before it counts as gone. A list older than this is not used.
    Duration platformListLag_ = 3s;
    // How often loads are reported and balanced.
    Duration loadInterval_ = 1s;
    BalancePolicy balance_;
    // How many ranges of one server are moved at a time.
    std::size_t moveBatch_ = 64;

    bool operator==(const CoordinatorSettings &) const = default;
};

// Identity, records and pending actions of one instance. Not thread-safe: the owner of the coordinator serializes all access.
class CoordinationContext
{
public:
    CoordinationContext(CoordinatorSettings settings, Incarnation self, std::uint64_t seed);

    const CoordinatorSettings &settings() const
    {
        return settings_;
    }
    const Incarnation &self() const
    {
        return self_;
    }
    void setSelf(Incarnation self)
    {
        self_ = std::move(self);
    }
    RecordCatalog &catalog()
    {
        return catalog_;
    }
    const RecordCatalog &catalog() const
    {
        return catalog_;
    }
    // The member to which a duty is assigned.
    const Incarnation &dutyHolder(const std::string &duty)
    {
        return dutyAssignment_.holder(catalog_.cluster(), duty);
    }
    // The rank of this instance in the order of preference for a duty, 0 for the preferred one.
    std::size_t dutyRank(const std::string &duty)
    {
        return dutyAssignment_.rank(catalog_.cluster(), duty, self_);
    }
    std::mt19937_64 &random()
    {
        return random_;
    }

    // Sends a message to a member; does nothing if its address is unknown.
    void send(const Incarnation &to, Message message);
    // Sends a message to an address. If `to` is empty, any incarnation that listens there accepts it.
    void sendTo(const std::string &address, const Incarnation &to, Message message);
    void addAction(Action action)
    {
        actions_.push_back(std::move(action));
    }
    std::vector<Action> takeActions();

    // Whether the last store call failed. Operations that can be deferred should then not depend on the store.
    bool isStoreFailing() const
    {
        return isStoreFailing_;
    }
    void setStoreFailing(bool isFailing)
    {
        isStoreFailing_ = isFailing;
    }

    std::uint64_t nextCall()
    {
        return ++lastCall_;
    }
    // Returns a change note with a unique identifier.
    ChangeNote makeNote(Now now, std::string actor, std::string reason);
    // Returns a random duration between half of `interval` and `interval`, so that instances do not act at the same time.
    Duration jitter(Duration interval);

private:
    CoordinatorSettings settings_;
    Incarnation self_;
    RecordCatalog catalog_;
    DutyAssignment dutyAssignment_;
    std::mt19937_64 random_;
    std::vector<Action> actions_;
    std::uint64_t lastCall_ = 0;
    std::uint64_t lastChange_ = 0;
    bool isStoreFailing_ = false;
};

} // namespace Goldcrestwall
