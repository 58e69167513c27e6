// What the parts of the control plane share: identity, settings, records and the outbox.
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
    // Addresses of instances to ask for records when the store does not answer.
    std::vector<std::string> seeds_;
    LeaseTerms terms_;
    // A witness stops renewing a holder that has lacked a record for this long.
    Duration syncLimit_ = 1500ms;
    // How often a watcher lists the versions in the store.
    Duration pollInterval_ = 500ms;
    // How many members of each failure domain poll the store.
    std::size_t watchersPerDomain_ = 2;
    // How long a takeover waits for a majority of witnesses before it looks for other evidence.
    Duration sealTimeout_ = 1500ms;
    // How long a member must be absent from the platform's list, or the list be older than this, before it counts as gone.
    Duration platformListLag_ = 3s;
    // How often loads are reported and balanced.
    Duration loadInterval_ = 1s;
    BalancePolicy balance_;
    // How many ranges of one server move at a time.
    std::size_t moveBatch_ = 64;

    bool operator==(const CoordinatorSettings &) const = default;
};

// Identity, records and outbox of one instance. Not thread-safe: the coordinator's owner serializes all access.
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
    // The member that has a duty.
    const Incarnation &dutyHolder(const std::string &duty)
    {
        return dutyAssignment_.holder(catalog_.cluster(), duty);
    }
    // This instance's place in the order of preference for a duty.
    std::size_t dutyRank(const std::string &duty)
    {
        return dutyAssignment_.rank(catalog_.cluster(), duty, self_);
    }
    std::mt19937_64 &random()
    {
        return random_;
    }

    // Sends to a member; does nothing when its address is not known.
    void send(const Incarnation &to, Message message);
    // Sends to an address, to whichever incarnation listens there if `to` is empty.
    void sendTo(const std::string &address, const Incarnation &to, Message message);
    void addAction(Action action)
    {
        actions_.push_back(std::move(action));
    }
    std::vector<Action> takeActions();

    // Whether the last call to the store failed. Nothing that can wait should then rely on the store.
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
    // A note whose identifier no other change has.
    ChangeNote makeNote(Now now, std::string actor, std::string reason);
    // A wait of between half and all of `interval`, so that instances do not act in step.
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
