// Case 8: targets in trouble send a part of an earlier refusal once more before a whole answer. A booking must neither run twice nor be told not to have run.
#include "Caller.h"
#include "RefusingTarget.h"
#include "Router.h"

#include <algorithm>
#include <iostream>

using namespace Review;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr std::size_t TargetCount = 5;
// Targets that spoil answers: a share of 0.6.
constexpr std::size_t SpoilingTargets = 3;
constexpr double RefusedShare = 0.3;
constexpr double SpoiltShare = 0.05;
constexpr std::size_t CallersOfEach = 6;
constexpr Duration CallPause = 10ms;
constexpr Duration SettleTime = 2s;
// How long the targets are in trouble.
constexpr Duration TroubleTime = 5s;
constexpr Duration EndTime = 2s;

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
        for (std::size_t i = 0; i < TargetCount; ++i) {
            const auto seed = static_cast<std::uint32_t>(Clock::now().time_since_epoch().count() + static_cast<long>(i));
            targets_.push_back(
                std::make_unique<RefusingTarget>("i-" + std::to_string(i + 1), "plain", i % 2 == 0 ? "r-a" : "r-b", seed, store_, runs_, record_));
        }
        if (!startAndAwaitReady(routers_, record_)) {
            return record_.end(Verdict::NotRun, "the deployment was not ready in time");
        }
        startCallers();
        std::this_thread::sleep_for(SettleTime);
        record_.write("the targets are in trouble");
        for (std::size_t i = 0; i < TargetCount; ++i) {
            targets_[i]->setTrouble({RefusedShare, hasTrouble() && i < SpoilingTargets ? SpoiltShare : 0});
        }
        std::this_thread::sleep_for(TroubleTime);
        for (const auto &target : targets_) {
            target->setTrouble({});
        }
        record_.write("the targets are sound");
        std::this_thread::sleep_for(EndTime);
        callers_.stop();
        return judge();
    }

private:
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

    int judge()
    {
        std::map<std::string, std::vector<Run>> runs;
        for (const auto &run : runs_.all()) {
            runs[run.requestId_].push_back(run);
        }
        std::size_t twice = 0;
        std::size_t refused = 0;
        for (const auto &answer : answers_) {
            const auto &own = runs[answer.requestId_];
            std::string line = "booking " + answer.requestId_ + " got " + std::to_string(answer.status_);
            for (const auto &run : own) {
                line += ", run at " + run.target_;
            }
            const bool isPromise = answer.status_ == 503 || answer.status_ == 429 || answer.status_ == 408 || answer.status_ == 421;
            const bool isFalse = isPromise && !own.empty();
            twice += own.size() > 1 ? 1 : 0;
            refused += isFalse ? 1 : 0;
            if (own.size() > 1 || isFalse) {
                record_.writeBreak(line);
            } else {
                record_.write(line);
            }
        }
        for (const auto &target : targets_) {
            const auto count = target->count();
            record_.write(std::to_string(count.answers_) + " answers of a target, " + std::to_string(count.refusals_) + " refusals, "
                          + std::to_string(count.spoilt_) + " spoilt");
        }
        const std::string text = "of " + std::to_string(answers_.size()) + " bookings " + std::to_string(twice) + " ran twice, and " + std::to_string(refused)
            + " were told not to have run and had";
        if (answers_.empty()) {
            return record_.end(Verdict::NotRun, "no bookings were made");
        }
        return record_.end(twice + refused > 0 ? Verdict::Broken : Verdict::Held, text);
    }

    TemporaryFolder folder_;
    Record record_;
    Store store_;
    RunList runs_;
    std::mutex mutex_;
    std::vector<CallerAnswer> answers_;
    std::vector<std::unique_ptr<RefusingTarget>> targets_;
    std::vector<std::unique_ptr<Router>> routers_;
    Callers callers_;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: truncated-refusals FOLDER\n";
        return static_cast<int>(Verdict::NotRun);
    }
    try {
        return Case(arguments[1]).run();
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}
