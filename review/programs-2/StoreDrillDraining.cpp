// Case 10: the store comes back from a copy that is some seconds old. A target that reports afterwards that it is draining must still get no requests.
#include "Caller.h"
#include "Router.h"
#include "Target.h"

#include <algorithm>
#include <iostream>

using namespace Review;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr int TargetCount = 6;
constexpr std::size_t CallersOfEach = 3;
constexpr Duration CallPause = 15ms;
constexpr Duration SettleTime = 3s;
// Between the copy and the moment at which the store goes away.
constexpr Duration CopyAge = 10s;
constexpr Duration Absence = 800ms;
// From the return of the store to the target's report. Longer than `contactS`.
constexpr Duration UntilReport = 3200ms;
// `drainS`.
constexpr Duration DrainBound = 2s;
// How long the target goes on serving after its report.
constexpr Duration ServingTime = 10s;

constexpr const char *Configuration = R"({"version":3,"resources":[
{"resourceType":"routes","metadata":{"name":"r-book"},"spec":{"host":"plain.example","prefix":"/book/","kind":"non_idempotent","timeoutS":1,"aimS":0.3,
"priority":1,"service":"plain","maxAttempts":2}},
{"resourceType":"services","metadata":{"name":"plain"},"spec":{"healthPath":"/health","maxConns":120,"protocol":"h1","tls":false}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}]})";

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
        store_.put("op/config", Configuration);
        for (int i = 1; i <= TargetCount; ++i) {
            targets_.push_back(
                std::make_unique<Target>(TargetDescription{"p-" + std::to_string(i), "plain", i % 2 == 0 ? "r-b" : "r-a"}, store_, runs_, record_));
        }
        if (!startAndAwaitReady(routers_, record_)) {
            return record_.end(Verdict::NotRun, "the deployment was not ready in time");
        }
        startCallers();
        std::this_thread::sleep_for(SettleTime);
        store_.takeCopy();
        record_.write("copy of the store at revision " + std::to_string(store_.revision()));
        std::this_thread::sleep_for(CopyAge);
        if (hasTrouble()) {
            drill();
        }
        std::this_thread::sleep_for(UntilReport);
        auto &draining = *targets_.front();
        draining.drain();
        const TimePoint bound = Clock::now() + DrainBound;
        std::this_thread::sleep_for(ServingTime);
        callers_.stop();
        return judge(draining.id(), bound);
    }

private:
    void drill()
    {
        record_.write("the store goes away at revision " + std::to_string(store_.revision()));
        store_.goAway();
        std::this_thread::sleep_for(Absence);
        store_.comeBackFromCopy();
        record_.write("the store is back from the copy, at revision " + std::to_string(store_.revision()));
        // What the operator and the targets wrote is written again.
        store_.put("op/config", Configuration);
        for (const auto &target : targets_) {
            target->beat();
        }
    }

    void startCallers()
    {
        for (const auto &router : routers_) {
            for (std::size_t i = 0; i < CallersOfEach; ++i) {
                callers_.add(
                    [this, address = router->frontAddress()](std::uint32_t) {
                        auto answer = call(address, {"POST", "plain.example", "/book/visit", {}, "a visit on Tuesday"});
                        const std::lock_guard lock(mutex_);
                        answers_.push_back(std::move(answer));
                    },
                    CallPause);
            }
        }
    }

    int judge(const std::string &draining, TimePoint bound)
    {
        std::map<std::string, Run> runs;
        for (const auto &run : runs_.all()) {
            runs[run.requestId_] = run;
        }
        for (const auto &answer : answers_) {
            const auto run = runs.find(answer.requestId_);
            std::string line = "booking " + answer.requestId_ + " got " + std::to_string(answer.status_);
            line += run == runs.end() ? std::string() : ", run at " + run->second.target_;
            // Sent by the client after the bound, too.
            const bool isLate = run != runs.end() && run->second.target_ == draining && answer.sentAt_ > bound;
            if (isLate) {
                record_.writeBreak(line + ", " + std::to_string(elapsed(bound, run->second.at_).count()) + " ms after the bound");
            } else {
                record_.write(line);
            }
        }
        if (answers_.empty()) {
            return record_.end(Verdict::NotRun, "no bookings were made");
        }
        const std::string text = std::to_string(record_.breakCount()) + " of " + std::to_string(answers_.size())
            + " bookings were sent later than drainS after the acknowledgement and ran at the target that is draining";
        return record_.end(record_.breakCount() > 0 ? Verdict::Broken : Verdict::Held, text);
    }

    TemporaryFolder folder_;
    Record record_;
    Store store_;
    RunList runs_;
    std::mutex mutex_;
    std::vector<CallerAnswer> answers_;
    std::vector<std::unique_ptr<Target>> targets_;
    std::vector<std::unique_ptr<Router>> routers_;
    Callers callers_;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: store-drill-draining FOLDER\n";
        return static_cast<int>(Verdict::NotRun);
    }
    try {
        return Case(arguments[1]).run();
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}
