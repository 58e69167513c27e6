// Executes operators' statements on one instance.
#pragma once

#include <LibOperator/Answer.h>
#include <LibOperator/Statement.h>
#include <LibRuntime/LibRuntime.h>

namespace Goldcrestwall {

// The name and token that an operator sent; not authenticated yet.
struct OperatorIdentity
{
    std::string name_;
    std::string token_;

    auto operator<=>(const OperatorIdentity &) const = default;
};

// Evaluates statements with the state that one instance knows. Operators may read and change the objects of customers whose
// configuration lists them. The bootstrap operator has full permission for every customer, so that the first configuration of a
// customer can be stored.
class StatementEvaluator
{
public:
    // `bootstrapTokenHash` is the SHA-256 of the bootstrap operator's token; empty if there is none.
    StatementEvaluator(Instance &instance, std::string bootstrapTokenHash);

    // Blocks until the outcome of a command is known or the command times out.
    Answer evaluate(const Statement &statement, const OperatorIdentity &identity);

private:
    // An operator's permission for a customer's objects.
    enum class Permission {
        None,
        Read,
        Command,
    };

    Permission permissionFor(const OperatorIdentity &identity, const CustomerId &customer) const;
    bool isBootstrap(const OperatorIdentity &identity) const;
    bool hasAnyPermission(const OperatorIdentity &identity) const;

    Answer answer(const WhoOwns &statement, const OperatorIdentity &identity);
    Answer answer(const WhyRequest &statement, const OperatorIdentity &identity);
    Answer answer(const Show &statement, const OperatorIdentity &identity);
    Answer answer(const IsInForce &statement, const OperatorIdentity &identity);
    Answer check(const CheckDocument &statement);
    Answer change(const Statement &statement, const OperatorIdentity &identity);
    Answer changeConfiguration(const Statement &statement,
                               const CustomerId &customer,
                               const OperatorIdentity &identity,
                               const std::function<std::optional<std::string>(CustomerConfiguration &configuration)> &edit);
    Answer putConfiguration(const Statement &statement, const PutDocument &document, const OperatorIdentity &identity);
    Answer moveKey(const MoveKey &move, const OperatorIdentity &identity);
    Answer submit(RecordChange change, const std::shared_ptr<std::string> &rejection);

    Answer showOwners(const OperatorIdentity &identity);
    Answer showLeases();
    Answer showServers(Topic topic, const OperatorIdentity &identity);
    Answer showDomains(const OperatorIdentity &identity);
    Answer showInstances();
    Answer showVersions(const OperatorIdentity &identity);
    Answer showChanges(const OperatorIdentity &identity);
    Answer showRequests(const RequestId &id, const OperatorIdentity &identity);
    // Adds a note if the instance's state may be stale.
    void addStalenessNote(Answer &answer);

    Instance &instance_;
    std::string bootstrapTokenHash_;
};

} // namespace Goldcrestwall
