// Implements the checks of the invariants over the history of a run.
#include <Tests/Harness/HistoryChecker.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace Goldcrestwall {

namespace {

// How long after an accepted command requests may still start where the command forbids them.
constexpr Duration CommandGracePeriod = 2500ms;

std::string describe(const Run &run)
{
    std::ostringstream text;
    text << run.server_.value_ << " key " << run.key_ << " id " << run.id_.value_ << " token " << run.token_ << " at "
         << run.startedAt_.time_since_epoch().count() << ".." << run.endedAt_.time_since_epoch().count();
    return text.str();
}

// The ownership of each service over time, taken from the history of its record in the store.
class OwnershipTimeline
{
public:
    explicit OwnershipTimeline(const Simulation &simulation)
    {
        for (const StoredVersion &stored : simulation.store().history()) {
            if (kindOfRecord(stored.record_.key_) == RecordKind::Service) {
                const auto record = decode<ServiceRecord>(stored.record_.value_);
                CHECK(record);
                versions_[record->customer().value_ + "/" + record->service().value_].push_back({stored.time_, *record});
            }
        }
    }

    // Whether the server owned the key during the whole run.
    bool isOwnerThroughout(const std::string &service, const Run &run) const
    {
        const auto position = versions_.find(service);
        if (position == versions_.end()) {
            return false;
        }
        bool wasEverOwner = false;
        for (std::size_t index = 0; index < position->second.size(); ++index) {
            const TimePoint begin = position->second[index].first;
            const bool isLast = index + 1 == position->second.size();
            const TimePoint end = isLast ? TimePoint::max() : position->second[index + 1].first;
            if (end <= run.startedAt_ || begin >= run.endedAt_) {
                continue;
            }
            const ServiceRecord &record = position->second[index].second;
            const ServerEntry *owner = record.ownerOf(record.rangeOf(run.key_));
            if (!owner || owner->server_ != run.server_) {
                return false;
            }
            wasEverOwner = true;
        }
        return wasEverOwner;
    }

private:
    std::map<std::string, std::vector<std::pair<TimePoint, ServiceRecord>>> versions_;
};

class Checker
{
public:
    explicit Checker(const Simulation &simulation)
        : simulation_(simulation)
        , timeline_(simulation)
    {
        for (const CustomerConfiguration &customer : simulation.options().customers_) {
            for (const ServiceConfiguration &service : customer.services_) {
                for (const ServerConfiguration &server : service.servers_) {
                    serverInfos_[server.id_] = {customer.customer_.value_ + "/" + service.id_.value_, service.kind_, server.domain_};
                }
            }
        }
        for (const Run &run : simulation.runs()) {
            runsById_[run.id_].push_back(&run);
        }
    }

    std::vector<std::string> check()
    {
        checkOwners();
        checkTokens();
        checkAnswers();
        checkExecutionCounts();
        checkColdStarts();
        checkCommands();
        checkRecords();
        return problems_;
    }

private:
    struct ServerInfo
    {
        std::string service_;
        ServiceKind kind_ = ServiceKind::Keyed;
        DomainId domain_;
    };

    void add(const std::string &problem)
    {
        problems_.push_back(problem);
    }

    // A key has at most one owner at any time, and only the owner runs its requests.
    void checkOwners()
    {
        for (const Run &run : simulation_.runs()) {
            const ServerInfo &info = serverInfos_.at(run.server_);
            if (info.kind_ == ServiceKind::Keyed && !timeline_.isOwnerThroughout(info.service_, run)) {
                add("ran without owning the key: " + describe(run));
            }
        }
    }

    // A server starts no request of an earlier dispatcher after one of a later dispatcher.
    void checkTokens()
    {
        std::map<ServerId, std::vector<const Run *>> byServer;
        for (const Run &run : simulation_.runs()) {
            byServer[run.server_].push_back(&run);
        }
        for (auto &[server, runs] : byServer) {
            std::stable_sort(runs.begin(), runs.end(), [](const Run *left, const Run *right) {
                return left->startedAt_ < right->startedAt_;
            });
            FencingToken highest = 0;
            for (const Run *run : runs) {
                if (run->token_ < highest) {
                    add("ran for an earlier dispatcher after a later one: " + describe(*run));
                }
                highest = std::max(highest, run->token_);
            }
        }
    }

    // Every response was produced by a server for that request, and a request that was rejected as not run did not run.
    void checkAnswers()
    {
        std::map<RequestId, Execution> best;
        for (const Submission &submission : simulation_.submissions()) {
            const RequestId &id = submission.request_.id_;
            const auto runs = runsById_.find(id);
            if (submission.answer_.isAnswered_) {
                const bool isGenuine = runs != runsById_.end() && std::any_of(runs->second.begin(), runs->second.end(), [&](const Run *run) {
                                           return run->content_ == submission.answer_.content_ && run->key_ == submission.request_.key_;
                                       });
                if (!isGenuine) {
                    add("answer to " + id.value_ + " was not produced for it: " + submission.answer_.content_);
                }
            }
            submissionsById_[id].push_back(&submission);
        }
        for (const auto &[id, submissions] : submissionsById_) {
            const bool areAllRefused = std::all_of(submissions.begin(), submissions.end(), [](const Submission *submission) {
                return submission->hasEnded_ && !submission->answer_.isAnswered_ && submission->answer_.verdict_.execution() == Execution::NotRun;
            });
            if (areAllRefused && runsById_.contains(id)) {
                add("refused as not run, but ran: " + describe(*runsById_.at(id).front()) + " reason "
                    + submissions.front()->answer_.verdict_.reason().message());
            }
        }
    }

    // A request that is not idempotent runs at most once.
    void checkExecutionCounts()
    {
        for (const auto &[id, submissions] : submissionsById_) {
            const auto runs = runsById_.find(id);
            const bool mustRunOnce = submissions.front()->request_.idempotence_ == Idempotence::NotIdempotent;
            if (mustRunOnce && runs != runsById_.end() && runs->second.size() > 1) {
                add("ran " + std::to_string(runs->second.size()) + " times: " + describe(*runs->second[0]) + " and " + describe(*runs->second[1]));
            }
        }
    }

    // A cold server never gets more concurrent requests than its cold slots.
    void checkColdStarts()
    {
        for (const auto &[id, server] : simulation_.servers()) {
            if (server->overloadCount() > 0) {
                add("cold server " + id.value_ + " was overloaded " + std::to_string(server->overloadCount()) + " times");
            }
        }
    }

    // A failure domain that was taken out and a draining server get no new requests after the grace period.
    void checkCommands()
    {
        const auto &operatorActions = simulation_.operatorActions();
        for (std::size_t index = 0; index < operatorActions.size(); ++index) {
            const bool isOut =
                operatorActions[index].kind_ == OperatorAction::Kind::DomainOut || operatorActions[index].kind_ == OperatorAction::Kind::ServerDraining;
            if (!isOut) {
                continue;
            }
            TimePoint until = TimePoint::max();
            for (std::size_t later = index + 1; later < operatorActions.size(); ++later) {
                const bool isUndone = operatorActions[later].kind_ != operatorActions[index].kind_
                    && operatorActions[later].domain_ == operatorActions[index].domain_ && operatorActions[later].server_ == operatorActions[index].server_;
                if (isUndone) {
                    until = std::min(until, operatorActions[later].effectiveAt_);
                }
            }
            for (const Run &run : simulation_.runs()) {
                const bool isAffected = operatorActions[index].kind_ == OperatorAction::Kind::DomainOut
                    ? serverInfos_.at(run.server_).domain_ == operatorActions[index].domain_
                    : run.server_ == operatorActions[index].server_;
                if (isAffected && run.startedAt_ > operatorActions[index].acceptedAt_ + CommandGracePeriod && run.startedAt_ < until) {
                    add("started after a command forbade it: " + describe(run));
                }
            }
        }
    }

    // The versions of each record in the store are consecutive, so no acknowledged change is lost.
    void checkRecords()
    {
        std::map<RecordKey, Version> versions;
        for (const StoredVersion &stored : simulation_.store().history()) {
            Version &version = versions[stored.record_.key_];
            if (stored.record_.version_ != version + 1) {
                add("record " + stored.record_.key_ + " went from version " + std::to_string(version) + " to " + std::to_string(stored.record_.version_));
            }
            version = stored.record_.version_;
        }
    }

    const Simulation &simulation_;
    OwnershipTimeline timeline_;
    std::map<ServerId, ServerInfo> serverInfos_;
    std::map<RequestId, std::vector<const Run *>> runsById_;
    std::map<RequestId, std::vector<const Submission *>> submissionsById_;
    std::vector<std::string> problems_;
};

} // namespace

std::vector<std::string> checkHistory(const Simulation &simulation)
{
    return Checker(simulation).check();
}

} // namespace Goldcrestwall
