// Evaluates the operators' queries from the instance's state and submits their commands as changes of store records.
#include <LibOperator/StatementEvaluator.h>

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <future>

namespace Goldcrestwall {

namespace {

// How long a command may be pending before the answer is "unknown".
constexpr Duration CommandTimeout = 5s;
// Without a lease, answers are marked as possibly stale when the last contact with the store is older than this.
constexpr Duration StalenessLimit = 3s;
constexpr std::size_t MaxRequestsShown = 50;

std::string formatTime(UnixMilliseconds time)
{
    return Poco::DateTimeFormatter::format(Poco::Timestamp(time * 1000), "%Y-%m-%dT%H:%M:%S.%iZ");
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

const char *nameOf(DomainState state)
{
    return state == DomainState::In ? "in" : "out";
}

const char *nameOf(ServerState state)
{
    return state == ServerState::In ? "in" : state == ServerState::Draining ? "draining" : "out";
}

std::string describe(const ChangeNote *note)
{
    if (!note) {
        return "a change that is no longer in the record's log";
    }
    return note->reason_ + " by " + note->actor_ + " at " + formatTime(note->time_) + " (change " + note->id_.value_ + ")";
}

} // namespace

StatementEvaluator::StatementEvaluator(Instance &instance, std::string bootstrapTokenHash)
    : instance_(instance)
    , bootstrapTokenHash_(std::move(bootstrapTokenHash))
{
}

bool StatementEvaluator::isBootstrap(const OperatorIdentity &identity) const
{
    return !bootstrapTokenHash_.empty() && isEqualInConstantTime(hashCredential(identity.token_), bootstrapTokenHash_);
}

StatementEvaluator::Permission StatementEvaluator::permissionFor(const OperatorIdentity &identity, const CustomerId &customer) const
{
    const auto table = instance_.view().table();
    const auto configuration = table ? table->customers().find(customer) : decltype(table->customers().end())();
    if (table && configuration != table->customers().end()) {
        const std::string hash = hashCredential(identity.token_);
        for (const OperatorConfiguration &operatorConfiguration : configuration->second->operators_) {
            if (operatorConfiguration.name_ == identity.name_ && isEqualInConstantTime(operatorConfiguration.tokenHash_, hash)) {
                return operatorConfiguration.role_ == OperatorRole::Commander ? Permission::Command : Permission::Read;
            }
        }
    }
    return isBootstrap(identity) ? Permission::Command : Permission::None;
}

bool StatementEvaluator::hasAnyPermission(const OperatorIdentity &identity) const
{
    const auto table = instance_.view().table();
    if (table) {
        for (const auto &[customer, configuration] : table->customers()) {
            if (permissionFor(identity, customer) != Permission::None) {
                return true;
            }
        }
    }
    return isBootstrap(identity);
}

Answer StatementEvaluator::evaluate(const Statement &statement, const OperatorIdentity &identity)
{
    if (!hasAnyPermission(identity)) {
        return Answer::refused("unknown operator or wrong token");
    }
    if (statement.isCommand()) {
        return change(statement, identity);
    }
    if (const auto *document = std::get_if<CheckDocument>(&statement.content_)) {
        return check(*document);
    }
    Answer result = std::visit(
        [&](const auto &content) -> Answer {
            if constexpr (requires { answer(content, identity); }) {
                return answer(content, identity);
            }
            return Answer::refused("not a question");
        },
        statement.content_);
    addStalenessNote(result);
    return result;
}

void StatementEvaluator::addStalenessNote(Answer &answer)
{
    const auto silence = instance_.control().access([](Coordinator &coordinator, Now now) {
        return coordinator.timeSinceStoreResponse(now);
    });
    const TimePoint lease = instance_.view().leaseExpiry();
    const bool isLeased = monotonicNow() < lease;
    if (isLeased) {
        return;
    }
    if (!silence) {
        answer.notes_.push_back("this instance holds no lease and has never reached the store; its knowledge may be old");
    } else if (*silence > StalenessLimit) {
        answer.notes_.push_back("this instance holds no lease and last reached the store " + formatMilliseconds(*silence) + " ago");
    }
}

Answer StatementEvaluator::answer(const WhoOwns &statement, const OperatorIdentity &identity)
{
    if (permissionFor(identity, statement.service_.customer_) == Permission::None) {
        return Answer::refused("not allowed to see " + statement.service_.customer_.value_);
    }
    const auto table = instance_.view().table();
    const ServiceRoute *route = table->find(statement.service_);
    if (!route || !route->record_) {
        return Answer::refused("no such service: " + statement.service_.customer_.value_ + "/" + statement.service_.service_.value_);
    }
    if (route->configuration_->kind_ != ServiceKind::Keyed) {
        return Answer::refused("the service is shared; its keys have no owner");
    }
    const ServiceRecord &record = *route->record_;
    const KeyRange range = record.rangeOf(statement.key_);
    const SliceEntry *entry = record.entryOf(range);
    const ServerEntry *owner = record.ownerOf(range);
    Answer result;
    result.columns_ = {"key", "slice", "owner", "dispatcher", "token", "record", "since"};
    result.rows_.push_back({statement.key_,
                            std::to_string(range.slice_) + (range.hotKey_.empty() ? "" : " (own range)"),
                            owner ? owner->server_.value_ : "none",
                            owner ? owner->dispatcher_.toString() : "none",
                            owner ? std::to_string(owner->token_) : "-",
                            std::to_string(record.version()),
                            std::to_string(entry->since_)});
    result.notes_.push_back("owned because of: " + describe(record.changes().find(entry->since_)));
    if (owner) {
        result.notes_.push_back("dispatched because of: " + describe(record.changes().find(owner->token_)));
    }
    return result;
}

Answer StatementEvaluator::answer(const WhyRequest &statement, const OperatorIdentity &identity)
{
    return showRequests(statement.id_, identity);
}

Answer StatementEvaluator::answer(const IsInForce &statement, const OperatorIdentity &identity)
{
    if (permissionFor(identity, statement.customer_) == Permission::None) {
        return Answer::refused("not allowed to see " + statement.customer_.value_);
    }
    const RecordKey key = configurationKey(statement.customer_);
    AdoptionState state;
    // The members are queried, and their responses arrive within a round trip.
    const TimePoint until = monotonicNow() + 500ms;
    do {
        state = instance_.control().access([&](Coordinator &coordinator, Now now) {
            return coordinator.queryAdoption(key, now);
        });
        if (!state.missing_.empty()) {
            std::this_thread::sleep_for(20ms);
        }
    } while (!state.missing_.empty() && monotonicNow() < until);
    Answer result;
    result.columns_ = {"customer", "version", "in force", "confirmed", "missing"};
    std::string missing;
    for (const Incarnation &member : state.missing_) {
        missing += (missing.empty() ? "" : " ") + member.toString();
    }
    result.rows_.push_back({statement.customer_.value_,
                            std::to_string(state.version_),
                            state.missing_.empty() && state.version_ > 0 ? "yes" : "no",
                            std::to_string(state.confirmed_.size()),
                            missing.empty() ? "-" : missing});
    return result;
}

Answer StatementEvaluator::answer(const Show &statement, const OperatorIdentity &identity)
{
    switch (statement.topic_) {
    case Topic::Owners:
        return showOwners(identity);
    case Topic::Leases:
        return showLeases();
    case Topic::Queues:
    case Topic::Limits:
        return showServers(statement.topic_, identity);
    case Topic::Domains:
        return showDomains(identity);
    case Topic::Instances:
        return showInstances();
    case Topic::Versions:
        return showVersions(identity);
    case Topic::Changes:
        return showChanges(identity);
    case Topic::Requests:
        return showRequests({}, identity);
    }
    return Answer::refused("unknown topic");
}

Answer StatementEvaluator::showOwners(const OperatorIdentity &identity)
{
    Answer result;
    result.columns_ = {"service", "server", "slices", "hot keys", "dispatcher", "token"};
    const auto table = instance_.view().table();
    for (const auto &[service, route] : table->services()) {
        if (!route.record_ || permissionFor(identity, service.customer_) == Permission::None) {
            continue;
        }
        const std::vector<std::uint32_t> counts = route.record_->sliceCounts();
        for (std::size_t index = 0; index < counts.size(); ++index) {
            const ServerEntry &entry = route.record_->servers()[index];
            const auto hotKeys = std::count_if(route.record_->hotKeys().begin(), route.record_->hotKeys().end(), [&](const HotKeyEntry &hot) {
                return hot.owner_.server_ == index;
            });
            result.rows_.push_back({service.customer_.value_ + "/" + service.service_.value_,
                                    entry.server_.value_,
                                    std::to_string(counts[index]),
                                    std::to_string(hotKeys),
                                    entry.dispatcher_.toString(),
                                    std::to_string(entry.token_)});
        }
    }
    return result;
}

Answer StatementEvaluator::showLeases()
{
    Answer result;
    result.columns_ = {"instance", "lease ends in", "witnesses"};
    return instance_.control().access([&](Coordinator &coordinator, Now now) {
        std::string witnesses;
        for (const Incarnation &witness : coordinator.lease().witnesses().current_) {
            witnesses += (witnesses.empty() ? "" : " ") + witness.toString();
        }
        const bool isValid = now.monotonic_ < coordinator.leaseExpiry();
        result.rows_.push_back(
            {coordinator.self().toString(), isValid ? formatMilliseconds(coordinator.leaseExpiry() - now.monotonic_) : "no lease", witnesses});
        result.notes_.push_back("each instance knows its own lease only");
        return result;
    });
}

Answer StatementEvaluator::showServers(Topic topic, const OperatorIdentity &identity)
{
    Answer result;
    const bool isQueueTopic = topic == Topic::Queues;
    result.columns_ =
        isQueueTopic ? std::vector<std::string>{"server", "running", "waiting", "service time"} : std::vector<std::string>{"server", "limit", "token", "state"};
    for (const DispatchTable::ServerView &server : instance_.dispatchers().servers()) {
        if (permissionFor(identity, server.server_.service_.customer_) == Permission::None) {
            continue;
        }
        if (isQueueTopic) {
            result.rows_.push_back(
                {server.server_.server_.value_, std::to_string(server.running_), std::to_string(server.queued_), formatMilliseconds(server.serviceTime_)});
        } else {
            const char *state = server.isLost_ ? "lost or draining" : server.needsGrant_ ? "waits for grant" : "serving";
            result.rows_.push_back({server.server_.server_.value_, std::to_string(server.limit_), std::to_string(server.token_), state});
        }
    }
    result.notes_.push_back("servers that this instance dispatches for");
    return result;
}

Answer StatementEvaluator::showDomains(const OperatorIdentity &identity)
{
    Answer result;
    result.columns_ = {"customer", "domain", "state", "servers"};
    const auto table = instance_.view().table();
    for (const auto &[customer, configuration] : table->customers()) {
        if (permissionFor(identity, customer) == Permission::None) {
            continue;
        }
        for (const DomainConfiguration &domain : configuration->domains_) {
            std::size_t servers = 0;
            for (const ServiceConfiguration &service : configuration->services_) {
                servers += static_cast<std::size_t>(std::count_if(service.servers_.begin(), service.servers_.end(), [&](const ServerConfiguration &server) {
                    return server.domain_ == domain.id_;
                }));
            }
            result.rows_.push_back({customer.value_, domain.id_.value_, nameOf(domain.state_), std::to_string(servers)});
        }
    }
    return result;
}

Answer StatementEvaluator::showInstances()
{
    Answer result;
    result.columns_ = {"instance", "address", "domain", "state", "witnesses"};
    const auto table = instance_.view().table();
    for (const Member &member : table->cluster().members()) {
        std::string witnesses;
        for (const Incarnation &witness : member.witnesses_) {
            witnesses += (witnesses.empty() ? "" : " ") + witness.instance_.value_;
        }
        result.rows_.push_back({member.incarnation_.toString(),
                                member.address_,
                                member.domain_.value_,
                                member.isLive()          ? "live"
                                    : member.isSealing() ? "sealing"
                                                         : "leaving",
                                witnesses});
    }
    return result;
}

Answer StatementEvaluator::showVersions(const OperatorIdentity &identity)
{
    Answer result;
    result.columns_ = {"record", "version"};
    const std::vector<RecordVersion> versions = instance_.control().access([](Coordinator &coordinator, Now) {
        return coordinator.catalog().versions();
    });
    for (const RecordVersion &version : versions) {
        const std::size_t first = version.key_.find('/');
        const std::size_t second = version.key_.find('/', first + 1);
        const bool isShared = first == std::string::npos;
        const CustomerId customer(isShared ? std::string() : version.key_.substr(first + 1, second == std::string::npos ? second : second - first - 1));
        if (isShared || permissionFor(identity, customer) != Permission::None) {
            result.rows_.push_back({version.key_, std::to_string(version.version_)});
        }
    }
    return result;
}

Answer StatementEvaluator::showChanges(const OperatorIdentity &identity)
{
    Answer result;
    result.columns_ = {"time", "record", "version", "who", "why", "what"};
    const auto table = instance_.view().table();
    const auto add = [&](const std::string &record, const ChangeLog &changes) {
        for (const ChangeNote &note : changes.notes()) {
            result.rows_.push_back({formatTime(note.time_), record, std::to_string(note.version_), note.actor_, note.reason_, note.detail_});
        }
    };
    instance_.control().access([&](Coordinator &coordinator, Now) {
        for (const RecordVersion &version : coordinator.catalog().versions()) {
            const RecordValue &record = *coordinator.catalog().find(version.key_);
            const auto kind = kindOfRecord(version.key_);
            if (kind == RecordKind::Cluster) {
                add(version.key_, changesOfRecord(record));
            }
            for (const auto &[customer, configuration] : table->customers()) {
                const bool isOwn = version.key_ == configurationKey(customer) || version.key_.starts_with(serviceKey({customer, {}}));
                if (isOwn && permissionFor(identity, customer) != Permission::None) {
                    add(version.key_, changesOfRecord(record));
                }
            }
        }
    });
    std::sort(result.rows_.begin(), result.rows_.end());
    return result;
}

Answer StatementEvaluator::showRequests(const RequestId &id, const OperatorIdentity &identity)
{
    Answer result;
    result.columns_ = {"time", "request", "customer", "service", "server", "attempts", "elapsed", "verdict", "reason"};
    for (const RequestTrace &trace : instance_.entry().traces().find(id, MaxRequestsShown)) {
        if (permissionFor(identity, trace.service_.customer_) == Permission::None) {
            continue;
        }
        result.rows_.push_back({formatTime(trace.time_),
                                trace.id_.value_,
                                trace.customer_.value_,
                                trace.service_.service_.value_,
                                trace.server_.value_.empty() ? "-" : trace.server_.value_,
                                std::to_string(trace.attempts_),
                                formatMilliseconds(trace.elapsed_),
                                trace.isAnswered_ ? "answered" : executionName(trace.verdict_.execution()),
                                trace.isAnswered_ ? "slow" : trace.verdict_.reason().message()});
    }
    if (result.rows_.empty()) {
        result.notes_.push_back("no such refused, failed or slow request at this instance lately");
    }
    return result;
}

Answer StatementEvaluator::check(const CheckDocument &statement)
{
    const ConfigurationCheck check = checkConfiguration(statement.document_);
    Answer result;
    if (check.configuration_) {
        result.notes_.push_back("the configuration is valid");
        return result;
    }
    result.status_ = AnswerStatus::Refused;
    result.columns_ = {"place", "problem"};
    for (const ConfigurationProblem &problem : check.problems_) {
        result.rows_.push_back({problem.path_, problem.reason_});
    }
    return result;
}

Answer StatementEvaluator::change(const Statement &statement, const OperatorIdentity &identity)
{
    if (const auto *document = std::get_if<PutDocument>(&statement.content_)) {
        return putConfiguration(statement, *document, identity);
    }
    if (const auto *move = std::get_if<MoveKey>(&statement.content_)) {
        return moveKey(*move, identity);
    }
    if (const auto *domain = std::get_if<SetDomainState>(&statement.content_)) {
        return changeConfiguration(statement, domain->customer_, identity, [domain = *domain](CustomerConfiguration &configuration) {
            for (DomainConfiguration &candidate : configuration.domains_) {
                if (candidate.id_ == domain.domain_) {
                    std::string detail = "domain " + domain.domain_.value_ + ": " + nameOf(candidate.state_) + " -> " + nameOf(domain.state_);
                    candidate.state_ = domain.state_;
                    return std::optional(detail);
                }
            }
            return std::optional<std::string>();
        });
    }
    const auto &server = std::get<SetServerState>(statement.content_);
    return changeConfiguration(statement, server.service_.customer_, identity, [server](CustomerConfiguration &configuration) {
        for (ServiceConfiguration &service : configuration.services_) {
            for (ServerConfiguration &candidate : service.servers_) {
                if (service.id_ == server.service_.service_ && candidate.id_ == server.server_) {
                    std::string detail = "server " + server.server_.value_ + ": " + nameOf(candidate.state_) + " -> " + nameOf(server.state_);
                    candidate.state_ = server.state_;
                    return std::optional(detail);
                }
            }
        }
        return std::optional<std::string>();
    });
}

Answer StatementEvaluator::changeConfiguration(const Statement &statement,
                                               const CustomerId &customer,
                                               const OperatorIdentity &identity,
                                               const std::function<std::optional<std::string>(CustomerConfiguration &configuration)> &edit)
{
    if (permissionFor(identity, customer) != Permission::Command) {
        return Answer::refused(identity.name_ + " may not command for " + customer.value_);
    }
    // `compute_` writes the rejection, which is read after the change has completed.
    const auto rejection = std::make_shared<std::string>();
    RecordChange change;
    change.key_ = configurationKey(customer);
    change.actor_ = identity.name_;
    change.reason_ = statement.reason_.empty() ? "no reason given" : statement.reason_;
    change.compute_ = [customer, edit, version = statement.version_, rejection](const RecordValue &current,
                                                                                const ChangeNote &note) -> std::optional<std::string> {
        const auto record = current.version_ == 0 ? std::nullopt : decode<ConfigurationRecord>(current.value_);
        if (!record) {
            *rejection = "there is no configuration of " + customer.value_;
            return std::nullopt;
        }
        if (version && *version != current.version_) {
            const ChangeNote *currentChange = record->changes().find(current.version_);
            *rejection =
                "version " + std::to_string(*version) + " was superseded by version " + std::to_string(current.version_) + ": " + describe(currentChange);
            return std::nullopt;
        }
        auto configuration = checkConfiguration(record->document()).configuration_;
        const auto detail = configuration ? edit(*configuration) : std::nullopt;
        if (!detail) {
            *rejection = "no such object in the configuration of " + customer.value_;
            return std::nullopt;
        }
        ChangeNote detailed = note;
        detailed.detail_ = *detail;
        return encode(record->withDocument(formatConfiguration(*configuration), detailed));
    };
    return submit(std::move(change), rejection);
}

Answer StatementEvaluator::putConfiguration(const Statement &statement, const PutDocument &document, const OperatorIdentity &identity)
{
    Answer problems = check(CheckDocument{document.document_});
    if (problems.status_ != AnswerStatus::Done) {
        return problems;
    }
    const CustomerConfiguration configuration = *checkConfiguration(document.document_).configuration_;
    if (permissionFor(identity, configuration.customer_) != Permission::Command) {
        return Answer::refused(identity.name_ + " may not command for " + configuration.customer_.value_);
    }
    const auto rejection = std::make_shared<std::string>();
    RecordChange change;
    change.key_ = configurationKey(configuration.customer_);
    change.actor_ = identity.name_;
    change.reason_ = statement.reason_.empty() ? "no reason given" : statement.reason_;
    change.compute_ = [configuration, version = statement.version_, rejection](const RecordValue &current,
                                                                               const ChangeNote &note) -> std::optional<std::string> {
        const auto record = current.version_ == 0 ? ConfigurationRecord() : decode<ConfigurationRecord>(current.value_).value_or(ConfigurationRecord());
        if (version && *version != current.version_) {
            const ChangeNote *currentChange = record.changes().find(current.version_);
            *rejection =
                "version " + std::to_string(*version) + " was superseded by version " + std::to_string(current.version_) + ": " + describe(currentChange);
            return std::nullopt;
        }
        // The number of slices determines the slice of each key, so it must not change while keys are in use.
        const auto present = checkConfiguration(record.document()).configuration_;
        for (const ServiceConfiguration &service : configuration.services_) {
            const ServiceConfiguration *before = present ? present->findService(service.id_) : nullptr;
            if (before && (before->sliceCount_ != service.sliceCount_ || before->kind_ != service.kind_)) {
                *rejection = "the kind and the number of slices of service " + service.id_.value_ + " cannot change";
                return std::nullopt;
            }
        }
        ChangeNote detailed = note;
        detailed.detail_ =
            "document of " + std::to_string(record.document().size()) + " -> " + std::to_string(formatConfiguration(configuration).size()) + " bytes";
        return encode(record.withDocument(formatConfiguration(configuration), detailed));
    };
    return submit(std::move(change), rejection);
}

Answer StatementEvaluator::submit(RecordChange change, const std::shared_ptr<std::string> &rejection)
{
    const auto promise = std::make_shared<std::promise<ChangeReport>>();
    std::future<ChangeReport> future = promise->get_future();
    const std::string actor = change.actor_;
    const RecordKey key = change.key_;
    change.tag_ = "operator/" + std::to_string(reinterpret_cast<std::uintptr_t>(promise.get()));
    change.completed_ = [promise](const ChangeReport &report) {
        promise->set_value(report);
    };
    instance_.control().access([&](Coordinator &coordinator, Now now) {
        change.deadline_ = now.monotonic_ + CommandTimeout;
        coordinator.submitChange(std::move(change), now);
    });
    const ChangeReport report = future.get();
    Answer result;
    result.columns_ = {"record", "version", "change", "outcome"};
    const auto addRow = [&](const char *outcome) {
        result.rows_.push_back({key, std::to_string(report.version_), report.id_.value_, outcome});
    };
    switch (report.outcome_) {
    case ChangeOutcome::Applied:
        LOG(INFO) << "operator " << actor << " changed " << key << " to version " << report.version_;
        addRow("accepted");
        break;
    case ChangeOutcome::Rejected:
        result = Answer::refused(*rejection);
        break;
    case ChangeOutcome::Unavailable:
        result = Answer::refused("the key-value service does not answer; nothing was changed");
        break;
    case ChangeOutcome::Unknown:
        result.status_ = AnswerStatus::Unknown;
        addRow("unknown");
        result.notes_.push_back("the answer was lost; 'show changes' tells by the change identifier whether it took effect");
        break;
    }
    return result;
}

Answer StatementEvaluator::moveKey(const MoveKey &move, const OperatorIdentity &identity)
{
    if (permissionFor(identity, move.service_.customer_) != Permission::Command) {
        return Answer::refused(identity.name_ + " may not command for " + move.service_.customer_.value_);
    }
    const auto table = instance_.view().table();
    const ServiceRoute *route = table->find(move.service_);
    if (!route || !route->record_ || !route->record_->findServer(move.to_)) {
        return Answer::refused("no such service or backend server");
    }
    const KeyRange present = route->record_->rangeOf(move.key_);
    const ServerEntry *owner = route->record_->ownerOf(present);
    if (!owner || owner->server_ == move.to_) {
        return Answer::refused(owner ? "the key is there already" : "the key has no owner at present");
    }
    const SliceMove request{{present.slice_, move.key_}, owner->server_, move.to_};
    instance_.control().access([&](Coordinator &coordinator, Now now) {
        coordinator.requestMove(owner->dispatcher_, {move.service_, {request}}, now);
    });
    // The dispatcher of the current owner executes the move; the record shows when it is complete.
    const TimePoint until = monotonicNow() + CommandTimeout;
    while (monotonicNow() < until) {
        const auto latest = instance_.view().table();
        const ServiceRoute *latestRoute = latest->find(move.service_);
        const ServerEntry *newOwner = latestRoute && latestRoute->record_ ? latestRoute->record_->ownerOf(latestRoute->record_->rangeOf(move.key_)) : nullptr;
        if (newOwner && newOwner->server_ == move.to_) {
            return answer(WhoOwns{move.service_, move.key_}, identity);
        }
        std::this_thread::sleep_for(20ms);
    }
    Answer result;
    result.status_ = AnswerStatus::Unknown;
    result.notes_.push_back("the move was requested but has not been made yet");
    return result;
}

} // namespace Goldcrestwall
