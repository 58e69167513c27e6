// Implements the simulation around the fake instances.
#include <Tests/Harness/Simulation.h>

namespace Goldcrestwall {

namespace {

constexpr Duration PlatformListLag = 1s;
// How often an entry checks whether the peer of a pending call is reachable, and how long it tries to open a connection. A call whose
// peer is not reachable ends at the next check.
constexpr Duration ConnectionCheckInterval = 1s;
constexpr Duration ConnectTimeout = 500ms;
constexpr Duration BootTimeout = 20s;
// The number of warm-up requests that makeCustomer() configures; equal to the default of a fake server.
constexpr std::uint32_t DefaultWarmup = 12;

} // namespace

Simulation::Simulation(SimulationOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , events_(seed)
    , store_(events_)
{
    for (const CustomerConfiguration &customer : options_.customers_) {
        for (const ServiceConfiguration &service : customer.services_) {
            for (const ServerConfiguration &server : service.servers_) {
                const FakeServerOptions serverOptions{
                    server.slots_, server.coldSlots_, options_.warmupRequests_, options_.serviceTime_, server.tokenChecking_ == TokenChecking::Checks};
                servers_.emplace(server.id_, std::make_unique<FakeServer>(events_, server.id_, serverOptions, runs_));
            }
        }
    }
    for (std::size_t index = 0; index < options_.instances_; ++index) {
        const DomainId domain = options_.instanceDomains_[index % options_.instanceDomains_.size()];
        instances_.push_back(std::make_unique<FakeInstance>(*this, InstanceId("entry-" + std::to_string(index + 1)), domain, events_.random()()));
    }
}

Simulation::~Simulation() = default;

FakeInstance *Simulation::findInstance(const std::string &address)
{
    for (const auto &instance : instances_) {
        if (instance->address() == address) {
            return instance.get();
        }
    }
    return nullptr;
}

void Simulation::boot()
{
    for (const auto &instance : instances_) {
        instance->start();
    }
    refreshPlatformList();
    runFor(2s);
    for (const CustomerConfiguration &customer : options_.customers_) {
        RecordChange change;
        change.key_ = configurationKey(customer.customer_);
        change.tag_ = "boot/" + customer.customer_.value_;
        change.compute_ = [customer](const RecordValue &, const ChangeNote &note) -> std::optional<std::string> {
            return encode(ConfigurationRecord().withDocument(formatConfiguration(customer), note));
        };
        instances_.front()->change(std::move(change));
    }
    const TimePoint deadline = events_.now() + BootTimeout;
    const auto isReady = [&] {
        for (const auto &instance : instances_) {
            const auto table = instance->table();
            if (!table || table->services().empty()) {
                return false;
            }
            for (const auto &[service, route] : table->services()) {
                const bool isOwned =
                    route.record_ && std::none_of(route.record_->servers().begin(), route.record_->servers().end(), [](const ServerEntry &entry) {
                        return entry.dispatcher_.isEmpty();
                    });
                const bool isKeyed = route.configuration_->kind_ == ServiceKind::Keyed;
                if (!isOwned || (isKeyed && !planUnownedSlices(*route.record_, {route.record_->servers().front().server_}).empty())) {
                    return false;
                }
            }
        }
        return true;
    };
    while (!isReady()) {
        CHECK(events_.now() < deadline) << "the deployment did not become ready within the boot time-out";
        runFor(100ms);
    }
    runFor(3s);
}

void Simulation::runFor(Duration duration)
{
    events_.runUntil(events_.now() + duration);
}

void Simulation::refreshPlatformList()
{
    std::map<InstanceId, PlatformInstance> present;
    for (const auto &instance : instances_) {
        if (instance->isAlive()) {
            present[instance->id()] = {instance->startedAt(), false};
        }
    }
    events_.after(PlatformListLag, [this, present] {
        listed_ = present;
    });
    events_.after(100ms, [this] {
        refreshPlatformList();
    });
}

PlatformList Simulation::platformList(TimePoint receivedAt) const
{
    return {listed_, receivedAt};
}

void Simulation::isolate(const std::string &node)
{
    isolated_.insert(node);
}

void Simulation::heal(const std::string &node)
{
    isolated_.erase(node);
}

void Simulation::healAll()
{
    isolated_.clear();
}

bool Simulation::canReach(const std::string &from, const std::string &to) const
{
    return from == to || (!isolated_.contains(from) && !isolated_.contains(to));
}

Duration Simulation::latency()
{
    return events_.uniform(options_.latency_ / 2, options_.latency_ * 3 / 2);
}

void Simulation::send(const std::string &from, const std::string &to, std::function<void(FakeInstance &)> deliver)
{
    FakeInstance *receiver = findInstance(to);
    if (!receiver || !canReach(from, to)) {
        return;
    }
    const Duration delay = from == to ? Duration::zero() : latency();
    events_.after(delay, [receiver, deliver = std::move(deliver)] {
        receiver->run([receiver, deliver] {
            deliver(*receiver);
        });
    });
}

void Simulation::call(const std::string &from, const std::string &to, const FakeCall &call, std::function<void(const ClientAnswer &answer)> respond)
{
    FakeInstance *receiver = findInstance(to);
    const auto hasEnded = std::make_shared<bool>(false);
    const auto end = [hasEnded, respond = std::move(respond)](const ClientAnswer &answer) {
        if (!std::exchange(*hasEnded, true)) {
            respond(answer);
        }
    };
    const auto fail = [this, end](Duration delay, const Verdict &verdict) {
        events_.after(delay, [end, verdict] {
            end({false, {}, verdict});
        });
    };
    const auto link = std::pair(from, to);
    const bool isConnected = receiver && receiver->isAlive() && canReach(from, to);
    if (!isConnected || brokenLinks_.contains(link)) {
        const bool isRefused = receiver && !receiver->isAlive() && canReach(from, to);
        if (!isConnected || receiver->isPaused()) {
            fail(isRefused ? latency() : ConnectTimeout, Verdict::notRun(RouterError::PeerUnreachable));
            return;
        }
        brokenLinks_.erase(link);
    }
    // If a connection breaks or the peer does not respond, the outcome of its requests is unknown.
    const Duration callTimeout = std::min<Duration>(call.timeout_ + 50ms, ConnectionCheckInterval * 60);
    events_.after(callTimeout, [end] {
        end({false, {}, Verdict::mayHaveRun(RouterError::PeerUnreachable)});
    });
    const auto watch = std::make_shared<std::function<void()>>();
    *watch = [this, receiver, link, end, hasEnded, weak = std::weak_ptr(watch)] {
        if (*hasEnded) {
            return;
        }
        const bool isAlive = receiver->isRunning() && canReach(link.first, link.second);
        if (!isAlive) {
            brokenLinks_.insert(link);
            end({false, {}, Verdict::mayHaveRun(RouterError::PeerUnreachable)});
            return;
        }
        if (const auto self = weak.lock()) {
            events_.after(ConnectionCheckInterval, [self] {
                (*self)();
            });
        }
    };
    if (from != to) {
        events_.after(ConnectionCheckInterval, [watch] {
            (*watch)();
        });
    }
    send(from, to, [this, from, to, call, end](FakeInstance &dispatcher) {
        dispatcher.dispatch(call, [this, from, to, end](const ClientAnswer &answer) {
            if (canReach(to, from)) {
                events_.after(from == to ? Duration::zero() : latency(), [end, answer] {
                    end(answer);
                });
            }
        });
    });
}

RequestId Simulation::makeId()
{
    return makeRequestId(wallClockTime(events_.now()), events_.random()());
}

std::size_t Simulation::submit(const ClientRequest &request, std::function<void(const Submission &submission)> ended)
{
    // The platform's load balancer distributes requests over the instances that accept connections.
    std::vector<FakeInstance *> candidates;
    for (const auto &instance : instances_) {
        if (instance->isAlive() && !isolated_.contains(instance->address()) && !instance->hasLeft()) {
            candidates.push_back(instance.get());
        }
    }
    const std::size_t index = submissions_.size();
    submissions_.push_back({request, {}, events_.now(), {}, false, false, {}});
    const auto end = [this, index, ended = std::move(ended)](const ClientAnswer &answer, bool isAbandoned) {
        Submission &submission = submissions_[index];
        if (submission.hasEnded_) {
            return;
        }
        submission.hasEnded_ = true;
        submission.endedAt_ = events_.now();
        submission.isAbandoned_ = isAbandoned;
        submission.answer_ = answer;
        if (ended) {
            ended(submissions_[index]);
        }
    };
    if (candidates.empty()) {
        end({false, {}, Verdict::notRun(RouterError::NoOwner)}, false);
        return index;
    }
    FakeInstance *entry = candidates[events_.random()() % candidates.size()];
    submissions_[index].entry_ = entry->id();
    entry->run([entry, request, end] {
        entry->submit(request, [end](const ClientAnswer &answer) {
            end(answer, false);
        });
    });
    // A client whose entry does not respond gives up 200 ms after its own time-out.
    events_.after(request.timeout_ + 200ms, [end] {
        end({false, {}, Verdict::mayHaveRun(RouterError::PeerUnreachable)}, true);
    });
    return index;
}

void Simulation::edit(const CustomerId &customer, const std::function<void(CustomerConfiguration &)> &change, const std::function<void(TimePoint)> &accepted)
{
    FakeInstance *instance = nullptr;
    for (const auto &candidate : instances_) {
        const bool isUsable = candidate->isRunning() && !isolated_.contains(candidate->address()) && candidate->table();
        if (isUsable && !instance) {
            instance = candidate.get();
        }
    }
    if (!instance) {
        events_.after(200ms, [this, customer, change, accepted] {
            edit(customer, change, accepted);
        });
        return;
    }
    RecordChange record;
    record.key_ = configurationKey(customer);
    record.tag_ = "edit/" + std::to_string(++lastTag_);
    record.compute_ = [change](const RecordValue &current, const ChangeNote &note) -> std::optional<std::string> {
        const auto stored = decode<ConfigurationRecord>(current.value_);
        auto configuration = stored ? checkConfiguration(stored->document()).configuration_ : std::nullopt;
        if (!configuration) {
            return std::nullopt;
        }
        change(*configuration);
        return encode(stored->withDocument(formatConfiguration(*configuration), note));
    };
    record.completed_ = [this, customer, change, accepted](const ChangeReport &report) {
        if (report.outcome_ == ChangeOutcome::Applied) {
            const auto &history = store_.history();
            const auto stored = std::find_if(history.rbegin(), history.rend(), [&](const StoredVersion &version) {
                return changesOfRecord(version.record_).notes().back().id_ == report.id_;
            });
            accepted(stored == history.rend() ? events_.now() : stored->time_);
        } else {
            events_.after(200ms, [this, customer, change, accepted] {
                edit(customer, change, accepted);
            });
        }
    };
    instance->change(std::move(record));
}

void Simulation::setDomainState(const CustomerId &customer, const DomainId &domain, DomainState state)
{
    edit(
        customer,
        [domain, state](CustomerConfiguration &configuration) {
            for (DomainConfiguration &candidate : configuration.domains_) {
                candidate.state_ = candidate.id_ == domain ? state : candidate.state_;
            }
        },
        [this, domain, state](TimePoint effectiveAt) {
            operatorActions_.push_back(
                {state == DomainState::Out ? OperatorAction::Kind::DomainOut : OperatorAction::Kind::DomainBack, domain, {}, events_.now(), effectiveAt});
        });
}

void Simulation::setServerState(const ServiceKey &service, const ServerId &server, ServerState state)
{
    edit(
        service.customer_,
        [service, server, state](CustomerConfiguration &configuration) {
            for (ServiceConfiguration &candidate : configuration.services_) {
                for (ServerConfiguration &entry : candidate.servers_) {
                    entry.state_ = candidate.id_ == service.service_ && entry.id_ == server ? state : entry.state_;
                }
            }
        },
        [this, server, state](TimePoint effectiveAt) {
            operatorActions_.push_back(
                {state == ServerState::In ? OperatorAction::Kind::ServerBack : OperatorAction::Kind::ServerDraining, {}, server, events_.now(), effectiveAt});
        });
}

CustomerConfiguration
makeCustomer(const std::string &name, const std::vector<std::string> &domains, const std::vector<ServicePlan> &services, SliceIndex slices)
{
    CustomerConfiguration customer;
    customer.customer_ = CustomerId(name);
    customer.credentialHash_ = hashCredential(name);
    for (const std::string &domain : domains) {
        customer.domains_.push_back({DomainId(domain), DomainState::In});
    }
    int port = 1000;
    for (const ServicePlan &plan : services) {
        ServiceConfiguration service;
        service.id_ = ServiceId(plan.name_);
        service.kind_ = plan.kind_;
        service.sliceCount_ = slices;
        service.accessPolicies_.push_back({customer.customer_, 0, 0, 1, {}, Priority::Interactive});
        for (std::size_t index = 0; index < plan.servers_; ++index) {
            ServerConfiguration server;
            server.id_ = ServerId(name + "-" + plan.name_ + "-" + std::to_string(index + 1));
            server.address_ = "10.0.0.1:" + std::to_string(++port);
            server.domain_ = DomainId(domains[index % domains.size()]);
            server.slots_ = plan.slots_;
            server.tokenChecking_ = plan.tokens_;
            server.warmupRequests_ = DefaultWarmup;
            service.servers_.push_back(server);
        }
        customer.services_.push_back(service);
    }
    return customer;
}

} // namespace Goldcrestwall
