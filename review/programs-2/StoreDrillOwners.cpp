// Case 6: the store comes back from a copy that is some seconds old. Each key must still have one holder at a time.
//
// A target joins and gets keys. The copy is from shortly before. After the drill another target joins, so that the assignment of the keys is written again.
#include "Caller.h"
#include "KeyLedger.h"
#include "Router.h"
#include "Target.h"

#include <iostream>

using namespace Review;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr int FirstTargets = 3;
// Between the copy and the moment at which the store goes away.
constexpr Duration CopyAge = 5s;
constexpr Duration Absence = 800ms;
// How long after the drill the next target joins, and how long the keys are watched then.
constexpr Duration PauseAfterDrill = 5s;
constexpr Duration WatchTime = 20s;
constexpr Duration SettleTime = 5s;
constexpr Duration CheckInterval = 10ms;
constexpr Duration GrantTimeout = 10s;

constexpr const char *Configuration = R"({"version":3,"resources":[
{"resourceType":"routes","metadata":{"name":"r-keyed"},"spec":{"host":"keyed.example","prefix":"/keyed/","kind":"idempotent","timeoutS":1,"aimS":0.3,
"priority":1,"service":"keyed","maxAttempts":2}},
{"resourceType":"services","metadata":{"name":"keyed"},"spec":{"healthPath":"/health","maxConns":120,"protocol":"h1","tls":false,"useShards":true,
"grants":"call"}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}]})";

class Case
{
public:
    explicit Case(const std::filesystem::path &folder)
        : record_(folder)
        , ledger_(record_)
        , routers_(makeRouters(RouterCount, store_.address(), folder_.path()))
    {
    }

    int run()
    {
        store_.put("op/config", Configuration);
        for (int i = 0; i < FirstTargets; ++i) {
            addTarget();
        }
        if (!startAndAwaitReady(routers_, record_) || !awaitKeys(FirstTargets)) {
            return record_.end(Verdict::NotRun, "the deployment did not serve in time");
        }
        startCallers();
        watchFor(SettleTime);
        if (ledger_.longestOverlap() > Duration::zero()) {
            return record_.end(Verdict::NotRun, "keys had two holders before the disruption");
        }
        store_.takeCopy();
        record_.write("copy of the store at revision " + std::to_string(store_.revision()));
        const TimePoint copiedAt = Clock::now();
        addTarget();
        if (!awaitKeys(FirstTargets + 1)) {
            return record_.end(Verdict::NotRun, "the target that joined got no keys in time");
        }
        record_.write("the target that joined holds " + std::to_string(ledger_.heldCount(targets_.back()->id())) + " keys");
        watchFor(std::max(Duration::zero(), CopyAge - elapsed(copiedAt, Clock::now())));
        if (hasTrouble()) {
            drill();
        }
        watchFor(PauseAfterDrill);
        addTarget();
        watchFor(WatchTime);
        callers_.stop();
        return judge();
    }

private:
    void addTarget()
    {
        const auto number = std::to_string(targets_.size() + 1);
        targets_.push_back(std::make_unique<Target>(
            TargetDescription{"k-" + number, "keyed", targets_.size() % 2 == 0 ? "r-a" : "r-b", 2, 10ms, &ledger_}, store_, runs_, record_));
    }

    void drill()
    {
        record_.write("the store goes away at revision " + std::to_string(store_.revision()));
        store_.goAway();
        watchFor(Absence);
        store_.comeBackFromCopy();
        record_.write("the store is back from the copy, at revision " + std::to_string(store_.revision()));
        // What the operator and the targets wrote is written again.
        store_.put("op/config", Configuration);
        for (const auto &target : targets_) {
            target->beat();
        }
    }

    // Waits until all targets so far hold keys; returns whether they do.
    bool awaitKeys(int count)
    {
        const TimePoint until = Clock::now() + GrantTimeout;
        for (int i = 0; i < count; ++i) {
            while (ledger_.heldCount(targets_[static_cast<std::size_t>(i)]->id()) == 0) {
                if (Clock::now() >= until) {
                    return false;
                }
                watchFor(CheckInterval);
            }
        }
        return true;
    }

    void watchFor(Duration duration)
    {
        for (const TimePoint until = Clock::now() + duration; Clock::now() < until;) {
            ledger_.check();
            std::this_thread::sleep_for(CheckInterval);
        }
    }

    void startCallers()
    {
        constexpr Duration Pause = 40ms;
        constexpr std::uint32_t Stride = 6151;
        for (const auto &router : routers_) {
            callers_.add(
                [this, address = router->frontAddress()](std::uint32_t number) {
                    const auto key = number * Stride % KeyCount;
                    const auto answer = call(address, {"GET", "keyed.example", "/keyed/" + std::to_string(key), key});
                    record_.write("request " + answer.requestId_ + " for key " + std::to_string(key) + " got " + std::to_string(answer.status_));
                },
                Pause);
        }
    }

    int judge()
    {
        for (const auto &run : runs_.all()) {
            record_.write("request " + run.requestId_ + " has run at " + run.target_);
        }
        const std::string overlap = "two targets held the same keys for at most " + std::to_string(ledger_.longestOverlap().count()) + " ms; "
            + std::to_string(ledger_.lowTokenCount()) + " keys were taken with a token that was not above all others";
        return record_.end(record_.breakCount() > 0 ? Verdict::Broken : Verdict::Held, overlap);
    }

    TemporaryFolder folder_;
    Record record_;
    KeyLedger ledger_;
    Store store_;
    RunList runs_;
    std::vector<std::unique_ptr<Target>> targets_;
    std::vector<std::unique_ptr<Router>> routers_;
    Callers callers_;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: store-drill-owners FOLDER\n";
        return static_cast<int>(Verdict::NotRun);
    }
    try {
        return Case(arguments[1]).run();
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}
