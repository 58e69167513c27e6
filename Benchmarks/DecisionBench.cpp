// Measures placement and ownership decisions in logical time for two customers' sizes and checks the targets. The output is
// deterministic for a given seed.
#include <Tests/Harness/Harness.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <future>
#include <set>

using namespace Goldcrestwall;

namespace {

constexpr std::uint64_t Seed = 20261;

// Sizes of a customer's services and of its deployment.
struct CustomerProfile
{
    const char *name_;
    std::vector<std::string> domains_;
    std::size_t keyedServers_;
    std::size_t bookingServers_;
    std::size_t sharedServers_;
    std::uint32_t slots_;
    Duration latency_;
    std::size_t instances_;
};

const CustomerProfile MotoSafi{"moto-safi", {"pwani-1", "pwani-2", "pwani-3", "pwani-4"}, 12, 8, 12, 2, 1ms, 10};
const CustomerProfile Tammeoja{"tammeoja", {"pohja-1", "pohja-2", "pohja-3"}, 13, 8, 12, 3, Duration(1500), 11};

constexpr SliceIndex SliceCount = 256;
constexpr Duration ServiceTime = 20ms;
// Fraction of all slots that the load keeps busy.
constexpr double Load = 0.6;

SimulationOptions makeOptions(const CustomerProfile &profile)
{
    SimulationOptions options;
    options.customers_.push_back(makeCustomer(profile.name_,
                                              profile.domains_,
                                              {{"keyed", ServiceKind::Keyed, profile.keyedServers_, profile.slots_, TokenChecking::Checks},
                                               {"bookings", ServiceKind::Keyed, profile.bookingServers_, profile.slots_, TokenChecking::Ignores},
                                               {"shared", ServiceKind::Shared, profile.sharedServers_, profile.slots_, TokenChecking::Checks}},
                                              SliceCount));
    options.instances_ = profile.instances_;
    for (const std::string &domain : profile.domains_) {
        options.instanceDomains_.push_back(DomainId(domain));
    }
    options.latency_ = profile.latency_;
    options.serviceTime_ = ServiceTime;
    return options;
}

// Draws keys with Zipf-distributed popularity.
class ZipfKeys
{
public:
    ZipfKeys(std::size_t count, double exponent)
    {
        double total = 0;
        for (std::size_t rank = 1; rank <= count; ++rank) {
            total += 1 / std::pow(static_cast<double>(rank), exponent);
            cumulative_.push_back(total);
        }
    }

    std::size_t draw(double uniform) const
    {
        const auto position = std::upper_bound(cumulative_.begin(), cumulative_.end(), uniform * cumulative_.back());
        return static_cast<std::size_t>(position - cumulative_.begin());
    }

private:
    std::vector<double> cumulative_;
};

// Results of a stream of requests.
struct StreamResult
{
    std::size_t submitted_ = 0;
    std::size_t answered_ = 0;
    std::vector<Duration> latencies_;

    double completedShare() const
    {
        return submitted_ == 0 ? 0 : static_cast<double>(answered_) / static_cast<double>(submitted_);
    }
    Duration quantile(double share)
    {
        if (latencies_.empty()) {
            return {};
        }
        std::sort(latencies_.begin(), latencies_.end());
        return latencies_[std::min(latencies_.size() - 1, static_cast<std::size_t>(share * static_cast<double>(latencies_.size())))];
    }
};

// Open-loop stream of requests to one service.
class Stream
{
public:
    Stream(Simulation &simulation, ServiceKey service, double rate, const ZipfKeys &keys, std::size_t keyOffset, Idempotence idempotence, TimePoint until)
        : simulation_(simulation)
        , service_(std::move(service))
        , interval_(static_cast<Duration::rep>(1e6 / rate))
        , keys_(keys)
        , keyOffset_(keyOffset)
        , idempotence_(idempotence)
        , until_(until)
    {
        next();
    }

    // Shifts the popularity to other keys.
    void setKeyOffset(std::size_t offset)
    {
        keyOffset_ = offset;
    }
    // Discards the results and counts requests from now on.
    void reset()
    {
        result_ = {};
        countFrom_ = simulation_.events().now();
    }
    StreamResult &result()
    {
        return result_;
    }

private:
    void next()
    {
        if (simulation_.events().now() >= until_) {
            return;
        }
        ClientRequest request;
        request.customer_ = service_.customer_;
        request.service_ = service_;
        request.key_ = "key-" + std::to_string(keys_.draw(simulation_.events().uniform()) + keyOffset_);
        request.id_ = simulation_.makeId();
        request.idempotence_ = idempotence_;
        const TimePoint start = simulation_.events().now();
        if (start >= countFrom_) {
            ++result_.submitted_;
        }
        simulation_.submit(request, [this, start](const Submission &submission) {
            if (start >= countFrom_ && submission.answer_.isAnswered_) {
                ++result_.answered_;
                result_.latencies_.push_back(simulation_.events().now() - start);
            }
        });
        // Poisson arrivals.
        const double gap = -std::log(1 - simulation_.events().uniform()) * static_cast<double>(interval_.count());
        simulation_.events().after(Duration(static_cast<Duration::rep>(gap)), [this] {
            next();
        });
    }

    Simulation &simulation_;
    ServiceKey service_;
    Duration interval_;
    const ZipfKeys &keys_;
    std::size_t keyOffset_;
    Idempotence idempotence_;
    TimePoint until_;
    TimePoint countFrom_;
    StreamResult result_;
};

// Returns the request rate that uses the fraction `load` of the slots. A slot is also occupied while the request and its response are
// in transit between dispatcher and server.
double rateFor(const CustomerProfile &profile, std::size_t servers, double load)
{
    const Duration cycle = ServiceTime + profile.latency_ * 2 + Duration(500);
    return load * static_cast<double>(servers * profile.slots_) / std::chrono::duration<double>(cycle).count();
}

// One row of the result table.
struct Row
{
    std::string profile_;
    std::string measure_;
    double value_ = 0;
    double baseline_ = 0;
    std::string baselineName_;
    // Upper bound of the value, or lower bound if `isLowerBound_`.
    double bound_ = 0;
    bool isLowerBound_ = false;
    bool isChecked_ = true;
    std::string unit_;

    bool isWithinBound() const
    {
        return !isChecked_ || (isLowerBound_ ? value_ >= bound_ : value_ <= bound_);
    }
};

using Rows = std::vector<Row>;

double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

void addViolations(Rows &rows, const CustomerProfile &profile, const Simulation &simulation, const std::string &scenario)
{
    const auto violations = checkHistory(simulation);
    if (!violations.empty()) {
        std::fprintf(stderr, "%s %s: %s\n", profile.name_, scenario.c_str(), violations.front().c_str());
    }
    rows.push_back({profile.name_, "violations, " + scenario, static_cast<double>(violations.size()), 0, "", 0, false, true, ""});
}

// Ratio of maximum to mean busy time per server, over the servers with an id prefix, since construction.
class ImbalanceMeter
{
public:
    ImbalanceMeter(Simulation &simulation, const std::string &prefix)
        : simulation_(simulation)
        , prefix_(prefix)
        , before_(read())
    {
    }

    double ratio() const
    {
        const std::vector<double> after = read();
        double highest = 0;
        double total = 0;
        for (std::size_t index = 0; index < after.size(); ++index) {
            highest = std::max(highest, after[index] - before_[index]);
            total += after[index] - before_[index];
        }
        return highest * static_cast<double>(after.size()) / total;
    }

private:
    std::vector<double> read() const
    {
        std::vector<double> busy;
        for (const auto &[id, server] : simulation_.servers()) {
            if (id.value_.starts_with(prefix_)) {
                busy.push_back(static_cast<double>(server->busyTime().count()));
            }
        }
        return busy;
    }

    Simulation &simulation_;
    std::string prefix_;
    std::vector<double> before_;
};

// Returns the number of slices whose owner differs between two versions of a service record.
std::size_t countMovedSlices(const ServiceRecord &before, const ServiceRecord &after)
{
    std::size_t moved = 0;
    for (std::size_t slice = 0; slice < before.slices().size(); ++slice) {
        const ServerEntry *old = before.ownerOf({static_cast<SliceIndex>(slice), {}});
        const ServerEntry *present = after.ownerOf({static_cast<SliceIndex>(slice), {}});
        moved += old && present && old->server_ != present->server_ ? 1 : 0;
    }
    return moved;
}

std::shared_ptr<const ServiceRecord> recordOf(Simulation &simulation, const ServiceKey &service)
{
    return simulation.instance(0).table()->find(service)->record_;
}

double imbalanceUnderZipf(const CustomerProfile &profile, bool balances, std::size_t *steadyMoves)
{
    SimulationOptions options = makeOptions(profile);
    options.balances_ = balances;
    Simulation simulation(options, Seed);
    simulation.boot();
    const ServiceKey service{CustomerId(profile.name_), ServiceId("keyed")};
    const ZipfKeys keys(20000, 0.99);
    const TimePoint until = simulation.events().now() + 240s;
    Stream stream(simulation, service, rateFor(profile, profile.keyedServers_, 0.35), keys, 0, Idempotence::Idempotent, until);
    simulation.runFor(180s);
    const auto before = recordOf(simulation, service);
    const ImbalanceMeter meter(simulation, std::string(profile.name_) + "-keyed");
    simulation.runFor(60s);
    *steadyMoves = countMovedSlices(*before, *recordOf(simulation, service));
    return meter.ratio();
}

Rows measureImbalance(const CustomerProfile &profile)
{
    Rows rows;
    std::size_t moves = 0;
    std::size_t ignored = 0;
    const double balanced = imbalanceUnderZipf(profile, true, &moves);
    const double hashOnly = imbalanceUnderZipf(profile, false, &ignored);
    rows.push_back({profile.name_, "imbalance max/mean, Zipf 0.99", balanced, hashOnly, "hash only", 1.25, false, true, ""});
    // Extrapolated from the measured minute; the bound is one per cent of the slices per hour.
    const double perHour = 60.0 * static_cast<double>(moves) / SliceCount;
    rows.push_back({profile.name_, "steady churn, share of slices an hour", perHour, 0, "hash only", 0.01, false, true, ""});
    return rows;
}

Rows measureHotKeyChange(const CustomerProfile &profile)
{
    Rows rows;
    Simulation simulation(makeOptions(profile), Seed + 1);
    simulation.boot();
    const ServiceKey service{CustomerId(profile.name_), ServiceId("keyed")};
    const ZipfKeys keys(20000, 0.99);
    const TimePoint until = simulation.events().now() + 300s;
    Stream stream(simulation, service, rateFor(profile, profile.keyedServers_, 0.35), keys, 0, Idempotence::Idempotent, until);
    simulation.runFor(120s);
    stream.setKeyOffset(100000);
    simulation.runFor(120s);
    const ImbalanceMeter meter(simulation, std::string(profile.name_) + "-keyed");
    stream.reset();
    simulation.runFor(60s);
    rows.push_back({profile.name_, "imbalance 2 min after all hot keys changed", meter.ratio(), 0, "", 1.25, false, true, ""});
    simulation.runFor(5s);
    addViolations(rows, profile, simulation, "hot keys change");
    return rows;
}

Rows measureChurn(const CustomerProfile &profile)
{
    Rows rows;
    SimulationOptions options = makeOptions(profile);
    options.balances_ = false;
    Simulation simulation(options, Seed + 2);
    simulation.boot();
    const ServiceKey service{CustomerId(profile.name_), ServiceId("bookings")};
    const ServerId server(std::string(profile.name_) + "-bookings-3");
    const auto before = recordOf(simulation, service);
    const auto mustMove = static_cast<double>(before->rangesOf(server).size());
    simulation.setServerState(service, server, ServerState::Out);
    simulation.runFor(15s);
    const auto without = recordOf(simulation, service);
    simulation.setServerState(service, server, ServerState::In);
    simulation.runFor(30s);
    const auto back = recordOf(simulation, service);
    const double left = static_cast<double>(countMovedSlices(*before, *without)) / mustMove;
    const double returned = static_cast<double>(countMovedSlices(*without, *back)) / mustMove;
    rows.push_back({profile.name_, "moves per slice that must move, server goes", left, 0, "", 1.5, false, true, ""});
    rows.push_back({profile.name_, "moves per slice that must move, server comes", returned, 0, "", 1.5, false, true, ""});
    return rows;
}

Rows measureFailures(const CustomerProfile &profile)
{
    Rows rows;
    const auto measure = [&](const std::string &name, double boundMilliseconds, const std::function<void(Simulation &)> &event) {
        Simulation simulation(makeOptions(profile), Seed + 3);
        simulation.boot();
        const ServiceKey service{CustomerId(profile.name_), ServiceId("bookings")};
        const Duration interval = 200ms;
        const TimePoint until = simulation.events().now() + 13s;
        const AvailabilityProbe probe(simulation, service, 64, interval, until);
        // Let the servers warm up first.
        simulation.runFor(4s);
        const TimePoint since = simulation.events().now();
        event(simulation);
        simulation.runFor(until - since);
        // Two responses for a key are one interval apart even without a failure.
        const double worst = std::max(0.0, toMilliseconds(probe.longestGap(since) - interval));
        rows.push_back({profile.name_, "unavailable per key, " + name, worst, 0, "", boundMilliseconds, false, true, "ms"});
        simulation.runFor(5s);
        addViolations(rows, profile, simulation, name);
    };
    const ServerId server(std::string(profile.name_) + "-bookings-1");
    const ServiceKey service{CustomerId(profile.name_), ServiceId("bookings")};
    const auto dispatcherOf = [server, service](Simulation &simulation) -> FakeInstance & {
        return *simulation.findInstance(recordOf(simulation, service)->findServer(server)->dispatcher_.instance_.value_);
    };
    measure("instance lost", 3000, [&](Simulation &simulation) {
        dispatcherOf(simulation).kill();
    });
    measure("server lost", 3000, [&](Simulation &simulation) {
        simulation.server(server).kill();
    });
    measure("instance and server lost", 3000, [&](Simulation &simulation) {
        dispatcherOf(simulation).kill();
        simulation.server(server).kill();
    });
    measure("store down", 100, [&](Simulation &simulation) {
        simulation.store().setDown(true);
    });
    measure("planned stop of an instance", 500, [&](Simulation &simulation) {
        dispatcherOf(simulation).leave();
    });
    return rows;
}

Rows measureDomainOutage(const CustomerProfile &profile)
{
    Rows rows;
    Simulation simulation(makeOptions(profile), Seed + 4);
    simulation.boot();
    const ZipfKeys keys(5000, 0.5);
    const TimePoint until = simulation.events().now() + 50s;
    std::vector<std::unique_ptr<Stream>> streams;
    const auto add = [&](const char *name, std::size_t servers, Idempotence idempotence) {
        const ServiceKey service{CustomerId(profile.name_), ServiceId(name)};
        streams.push_back(std::make_unique<Stream>(simulation, service, rateFor(profile, servers, Load), keys, 0, idempotence, until));
    };
    add("keyed", profile.keyedServers_, Idempotence::Idempotent);
    add("bookings", profile.bookingServers_, Idempotence::NotIdempotent);
    add("shared", profile.sharedServers_, Idempotence::Idempotent);
    // Warm up until the servers can take the full load.
    simulation.runFor(10s);
    std::uint64_t arrivalsBefore = 0;
    for (const auto &[id, server] : simulation.servers()) {
        arrivalsBefore += server->arrivals();
    }
    std::size_t submittedBefore = 0;
    for (const auto &stream : streams) {
        stream->reset();
    }
    submittedBefore = simulation.submissions().size();
    simulation.setDomainState(CustomerId(profile.name_), DomainId(profile.domains_[0]), DomainState::Out);
    simulation.runFor(20s);
    simulation.setDomainState(CustomerId(profile.name_), DomainId(profile.domains_[0]), DomainState::In);
    simulation.runFor(until - simulation.events().now() + Duration(5s));
    StreamResult all;
    for (const auto &stream : streams) {
        all.submitted_ += stream->result().submitted_;
        all.answered_ += stream->result().answered_;
        all.latencies_.insert(all.latencies_.end(), stream->result().latencies_.begin(), stream->result().latencies_.end());
    }
    std::uint64_t arrivals = 0;
    for (const auto &[id, server] : simulation.servers()) {
        arrivals += server->arrivals();
    }
    rows.push_back({profile.name_, "completed share, domain out and back", all.completedShare(), 0, "", 0.999, true, true, ""});
    rows.push_back({profile.name_, "p99, domain out and back", toMilliseconds(all.quantile(0.99)), 0, "", 0, false, false, "ms"});
    const double offered = static_cast<double>(arrivals - arrivalsBefore) / static_cast<double>(simulation.submissions().size() - submittedBefore);
    rows.push_back({profile.name_, "work offered to servers per request", offered, 0, "", 1.1, false, true, ""});
    addViolations(rows, profile, simulation, "domain out and back");
    return rows;
}

// Returns the latencies of a service while some of its servers are slow, and the extra work as a fraction of the requests.
StreamResult runStragglers(
    const CustomerProfile &profile, EntryPolicy policy, std::size_t stragglers, const char *name, std::size_t servers, Duration settleTime, double *extraWork)
{
    SimulationOptions options = makeOptions(profile);
    options.policy_ = policy;
    Simulation simulation(options, Seed + 5);
    simulation.boot();
    const ZipfKeys keys(5000, 0.5);
    const ServiceKey service{CustomerId(profile.name_), ServiceId(name)};
    const TimePoint until = simulation.events().now() + 50s + settleTime;
    Stream stream(simulation, service, rateFor(profile, servers, 0.4), keys, 0, Idempotence::Idempotent, until);
    simulation.runFor(20s);
    for (std::size_t index = 1; index <= stragglers; ++index) {
        simulation.server(ServerId(std::string(profile.name_) + "-" + name + "-" + std::to_string(index))).setSlowdownFactor(10);
    }
    simulation.runFor(settleTime);
    stream.reset();
    std::uint64_t arrivalsBefore = 0;
    for (const auto &[id, server] : simulation.servers()) {
        arrivalsBefore += server->arrivals();
    }
    simulation.runFor(until - simulation.events().now() + Duration(5s));
    std::uint64_t arrivals = 0;
    for (const auto &[id, server] : simulation.servers()) {
        arrivals += server->arrivals();
    }
    *extraWork = static_cast<double>(arrivals - arrivalsBefore) / static_cast<double>(stream.result().submitted_) - 1;
    return stream.result();
}

Rows measureStragglers(const CustomerProfile &profile)
{
    Rows rows;
    double extra = 0;
    double ignored = 0;
    StreamResult noStragglers = runStragglers(profile, EntryPolicy::Full, 0, "shared", profile.sharedServers_, 0ms, &ignored);
    StreamResult slow = runStragglers(profile, EntryPolicy::Full, 2, "shared", profile.sharedServers_, 0ms, &extra);
    StreamResult random = runStragglers(profile, EntryPolicy::RandomTarget, 2, "shared", profile.sharedServers_, 0ms, &ignored);
    const double noStragglersP99 = toMilliseconds(noStragglers.quantile(0.99));
    const auto ratio = [&](StreamResult &result, double quantile, StreamResult &reference) {
        return toMilliseconds(result.quantile(quantile)) / toMilliseconds(reference.quantile(quantile));
    };
    rows.push_back({profile.name_, "p99 shared, no stragglers", noStragglersP99, 0, "", 0, false, false, "ms"});
    rows.push_back({profile.name_,
                    "p99 shared, 2 stragglers, ratio",
                    ratio(slow, 0.99, noStragglers),
                    ratio(random, 0.99, noStragglers),
                    "random target",
                    1.3,
                    false,
                    true,
                    ""});
    rows.push_back({profile.name_,
                    "p99.9 shared, 2 stragglers, ratio",
                    ratio(slow, 0.999, noStragglers),
                    ratio(random, 0.999, noStragglers),
                    "random target",
                    0,
                    false,
                    false,
                    ""});
    rows.push_back({profile.name_, "extra work by hedging", extra, 0, "", 0.05, false, true, ""});
    StreamResult keyedNoStragglers = runStragglers(profile, EntryPolicy::Full, 0, "keyed", profile.keyedServers_, 10s, &ignored);
    StreamResult keyedSlow = runStragglers(profile, EntryPolicy::Full, 2, "keyed", profile.keyedServers_, 10s, &ignored);
    rows.push_back({profile.name_, "p99 keyed after 10 s, 2 stragglers, ratio", ratio(keyedSlow, 0.99, keyedNoStragglers), 0, "", 3, false, true, ""});
    rows.push_back({profile.name_, "completed share, keyed with stragglers", keyedSlow.completedShare(), 0, "", 0, false, false, ""});
    return rows;
}

// Reads the rows that are known to miss their bound, from lines of the form "decision-bench: CUSTOMER MEASURE".
std::set<std::string> readKnownRed(const std::string &file)
{
    constexpr std::string_view Prefix = "decision-bench: ";
    std::set<std::string> rows;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with(Prefix)) {
            rows.insert(line.substr(Prefix.size()));
        }
    }
    return rows;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(arguments[0]);
    const std::string filter = argumentCount > 1 ? arguments[1] : "";
    const std::set<std::string> knownRed = readKnownRed(argumentCount > 2 ? arguments[2] : "");
    using Measurement = Rows (*)(const CustomerProfile &profile);
    struct Named
    {
        const char *name_;
        Measurement run_;
    };
    const std::vector<Named> measurements{{"imbalance", measureImbalance},
                                          {"hotkeys", measureHotKeyChange},
                                          {"churn", measureChurn},
                                          {"losses", measureFailures},
                                          {"domain", measureDomainOutage},
                                          {"stragglers", measureStragglers}};
    // Each measurement has its own simulation, so they run in parallel; their results are printed in order.
    std::vector<std::future<Rows>> results;
    for (const CustomerProfile *profile : {&MotoSafi, &Tammeoja}) {
        for (const Named &measurement : measurements) {
            if (filter.empty() || filter == measurement.name_) {
                results.push_back(std::async(std::launch::async, measurement.run_, std::cref(*profile)));
            }
        }
    }
    std::printf("%-10s %-46s %10s %10s %-14s %10s %s\n", "tenant", "measure", "value", "baseline", "", "bound", "");
    int missed = 0;
    int met = 0;
    int known = 0;
    for (std::future<Rows> &result : results) {
        for (const Row &row : result.get()) {
            char bound[32] = "-";
            if (row.isChecked_) {
                std::snprintf(bound, sizeof(bound), "%s%.3f", row.isLowerBound_ ? ">=" : "<=", row.bound_);
            }
            char baseline[32] = "-";
            if (!row.baselineName_.empty()) {
                std::snprintf(baseline, sizeof(baseline), "%.3f", row.baseline_);
            }
            std::printf("%-10s %-46s %10.3f %10s %-14s %10s %s\n",
                        row.profile_.c_str(),
                        (row.measure_ + (row.unit_.empty() ? "" : " (" + row.unit_ + ")")).c_str(),
                        row.value_,
                        baseline,
                        row.baselineName_.c_str(),
                        bound,
                        row.isWithinBound() ? "" : "MISSED");
            const bool isKnown = knownRed.contains(row.profile_ + " " + row.measure_);
            known += !row.isWithinBound() && isKnown ? 1 : 0;
            missed += row.isWithinBound() || isKnown ? 0 : 1;
            met += row.isWithinBound() && row.isChecked_ ? 1 : 0;
        }
    }
    std::printf("%d targets missed that KNOWN-RED.txt lists\n", known);
    std::printf("DecisionBench: %d passed, %d failed\n", met, missed);
    return missed == 0 ? 0 : 1;
}
