// Case 7: the store comes back from a copy that is some seconds old. Configurations that the operator writes afterwards must still come into force.
//
// The second configuration is written after the copy was taken, and again when the store is back. The third one, written when the store has been sound
// for some seconds, moves a route to another service and drops another route.
#include "Caller.h"
#include "Router.h"
#include "Target.h"

#include <iostream>
#include <map>

using namespace Review;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr Duration SettleTime = 3s;
// From the copy to the second configuration, and from that to the moment at which the store goes away.
constexpr Duration UntilSecond = 6s;
constexpr Duration UntilDrill = 2s;
constexpr Duration Absence = 800ms;
// From the return of the store to the third configuration. Longer than `contactS`.
constexpr Duration UntilThird = 3500ms;
// `configApplyS` and `maxSkewS`: a configuration is in force at the latest so long after the store has acknowledged it, also while the store is not stable.
constexpr Duration ApplyBound = 2s + 5s;
// For how long requests are looked at after that.
constexpr Duration WatchTime = 15s;

std::string route(const char *name, const char *prefix, const char *service)
{
    return std::string(R"({"resourceType":"routes","metadata":{"name":")") + name + R"("},"spec":{"host":"plain.example","prefix":")" + prefix
        + R"(","kind":"idempotent","timeoutS":1,"aimS":0.3,"priority":1,"service":")" + service + R"(","maxAttempts":2}},)";
}

std::string service(const char *name)
{
    return std::string(R"({"resourceType":"services","metadata":{"name":")") + name
        + R"("},"spec":{"healthPath":"/health","maxConns":120,"protocol":"h1","tls":false}},)";
}

std::string configuration(int version, const std::string &routes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"resources":[)" + routes + service("first") + service("second") + service("third")
        + R"({"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
}

class Case
{
public:
    explicit Case(const std::filesystem::path &folder)
        : record_(folder)
        , routers_(makeRouters(RouterCount, store_.address(), folder_.path()))
    {
    }

    int run()
    {
        write("first", configuration(3, route("r-moved", "/moved/", "first") + route("r-dropped", "/dropped/", "first")));
        for (const char *name : {"first", "second", "third"}) {
            for (const char *zone : {"r-a", "r-b"}) {
                targets_.push_back(std::make_unique<Target>(TargetDescription{std::string(name) + "-" + zone, name, zone}, store_, runs_, record_));
            }
        }
        if (!startAndAwaitReady(routers_, record_)) {
            return record_.end(Verdict::NotRun, "the deployment was not ready in time");
        }
        startCallers();
        std::this_thread::sleep_for(SettleTime);
        store_.takeCopy();
        record_.write("copy of the store at revision " + std::to_string(store_.revision()));
        std::this_thread::sleep_for(UntilSecond);
        const auto second = configuration(6, route("r-moved", "/moved/", "second") + route("r-dropped", "/dropped/", "first"));
        write("second", second);
        std::this_thread::sleep_for(UntilDrill);
        if (servedBy("/moved/", Clock::now() - UntilDrill / 2)["second"] == 0) {
            return record_.end(Verdict::NotRun, "the second configuration was not in force before the disruption");
        }
        if (hasTrouble()) {
            drill(second);
        }
        std::this_thread::sleep_for(UntilThird);
        write("third", configuration(10, route("r-moved", "/moved/", "third")));
        const TimePoint acknowledgedAt = Clock::now();
        std::this_thread::sleep_for(ApplyBound + WatchTime);
        callers_.stop();
        return judge(acknowledgedAt + ApplyBound);
    }

private:
    void write(const char *name, const std::string &text)
    {
        record_.write(std::string("the store acknowledges the ") + name + " configuration with revision " + std::to_string(store_.put("op/config", text)));
    }

    void drill(const std::string &newest)
    {
        record_.write("the store goes away at revision " + std::to_string(store_.revision()));
        store_.goAway();
        std::this_thread::sleep_for(Absence);
        store_.comeBackFromCopy();
        record_.write("the store is back from the copy, at revision " + std::to_string(store_.revision()));
        // What the operator and the targets wrote is written again.
        write("second", newest);
        for (const auto &target : targets_) {
            target->beat();
        }
    }

    void startCallers()
    {
        constexpr Duration Pause = 50ms;
        for (const auto &router : routers_) {
            for (const char *path : {"/moved/x", "/dropped/x"}) {
                callers_.add(
                    [this, name = router->name(), address = router->frontAddress(), path](std::uint32_t) {
                        const auto answer = call(address, {"GET", "plain.example", path});
                        const std::lock_guard lock(mutex_);
                        answers_.push_back({name, path, answer});
                    },
                    Pause);
            }
        }
    }

    // How many requests for the path that were sent later than that were run by each service.
    std::map<std::string, int> servedBy(const std::string &path, TimePoint sentAfter)
    {
        std::map<std::string, int> counts;
        const std::lock_guard lock(mutex_);
        for (const auto &entry : answers_) {
            if (entry.path_.starts_with(path) && entry.answer_.sentAt_ > sentAfter) {
                for (const auto &run : runs_.of(entry.answer_.requestId_)) {
                    ++counts[run.service_];
                }
            }
        }
        return counts;
    }

    int judge(TimePoint bound)
    {
        std::map<std::string, std::vector<Run>> runs;
        for (const auto &run : runs_.all()) {
            runs[run.requestId_].push_back(run);
        }
        int looked = 0;
        for (const auto &entry : answers_) {
            std::string line =
                "request " + entry.answer_.requestId_ + " " + entry.path_ + " at " + entry.router_ + " got " + std::to_string(entry.answer_.status_);
            for (const auto &run : runs[entry.answer_.requestId_]) {
                line += ", run at " + run.target_;
            }
            const bool isLate = entry.answer_.sentAt_ > bound;
            looked += isLate ? 1 : 0;
            const bool isOld = isLate && std::ranges::any_of(runs[entry.answer_.requestId_], [](const Run &run) {
                                   return run.service_ != "third";
                               });
            if (isOld) {
                record_.writeBreak(line + ", as only an older configuration allows");
            } else {
                record_.write(line);
            }
        }
        const std::string text = std::to_string(record_.breakCount()) + " of " + std::to_string(looked) + " requests sent later than "
            + std::to_string(ApplyBound.count()) + " ms after the acknowledgement were handled as only an older configuration allows";
        if (looked == 0) {
            return record_.end(Verdict::NotRun, "no requests were sent");
        }
        return record_.end(record_.breakCount() > 0 ? Verdict::Broken : Verdict::Held, text);
    }

    struct Call
    {
        std::string router_;
        std::string path_;
        CallerAnswer answer_;
    };

    TemporaryFolder folder_;
    Record record_;
    Store store_;
    RunList runs_;
    std::mutex mutex_;
    std::vector<Call> answers_;
    std::vector<std::unique_ptr<Target>> targets_;
    std::vector<std::unique_ptr<Router>> routers_;
    Callers callers_;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: store-drill-configuration FOLDER\n";
        return static_cast<int>(Verdict::NotRun);
    }
    try {
        return Case(arguments[1]).run();
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}
