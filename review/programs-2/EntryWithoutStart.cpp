// Case 9: another writer leaves an entry that lacks a field, under the id of a target that has left and still serves. The entry names no target to use.
#include "Caller.h"
#include "Router.h"
#include "Target.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace Review;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr std::size_t CallersOfEach = 4;
constexpr Duration CallPause = 10ms;
constexpr Duration SettleTime = 3s;
// From the removal of the target's entry to the entry of the other writer.
constexpr Duration UntilEntry = 500ms;
// Three heartbeat intervals: the platform removes an entry that nobody writes again.
constexpr Duration EntryTime = 2610ms;
constexpr Duration EndTime = 2s;

std::string configuration()
{
    const auto route = [](const std::string &name) {
        return R"({"resourceType":"routes","metadata":{"name":"r-)" + name + R"("},"spec":{"host":"h.example","prefix":"/)" + name
            + R"(/","kind":"non_idempotent","timeoutS":1,"aimS":0.3,"priority":1,"service":")" + name + R"(","maxAttempts":2}},)";
    };
    const auto service = [](const std::string &name) {
        return R"({"resourceType":"services","metadata":{"name":")" + name
            + R"("},"spec":{"healthPath":"/health","maxConns":120,"protocol":"h1","tls":false}},)";
    };
    return R"({"version":3,"resources":[)" + route("bookings") + route("records") + service("bookings") + service("records")
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
        store_.put("op/config", configuration());
        for (const char *service : {"bookings", "records"}) {
            for (int i = 1; i <= 3; ++i) {
                const std::string id = std::string(service) + "-" + std::to_string(i);
                targets_.push_back(std::make_unique<Target>(TargetDescription{id, service, i % 2 == 0 ? "r-b" : "r-a"}, store_, runs_, record_));
            }
        }
        if (!startAndAwaitReady(routers_, record_)) {
            return record_.end(Verdict::NotRun, "the deployment was not ready in time");
        }
        startCallers();
        std::this_thread::sleep_for(SettleTime);
        auto &leaving = *targets_.back();
        leaving.leave();
        std::this_thread::sleep_for(UntilEntry);
        if (hasTrouble()) {
            writeEntry(leaving);
        }
        std::this_thread::sleep_for(EntryTime);
        store_.remove("servers/" + leaving.id());
        record_.write("the platform removes the entry, if there is one");
        std::this_thread::sleep_for(EndTime);
        callers_.stop();
        return judge();
    }

private:
    // All that the page lists among an entry's fields, but not the start of the target, which each target states in all that it says of itself.
    void writeEntry(const Target &target)
    {
        const nlohmann::json entry{{"service", "bookings"},
                                   {"address", target.address()},
                                   {"zone", "r-a"},
                                   {"version", "v1"},
                                   {"capacity", 2},
                                   {"state", "ready"},
                                   {"warmupLeftS", 0},
                                   {"sequence", 1000}};
        store_.put("servers/" + target.id(), entry.dump());
        record_.write("another writer writes servers/" + target.id() + ": " + entry.dump());
    }

    void startCallers()
    {
        for (const auto &router : routers_) {
            for (std::size_t i = 0; i < 2 * CallersOfEach; ++i) {
                const std::string service = i % 2 == 0 ? "bookings" : "records";
                callers_.add(
                    [this, service, address = router->frontAddress()](std::uint32_t) {
                        auto answer = call(address, {"POST", "h.example", "/" + service + "/x", {}, "a visit on Tuesday"});
                        const std::lock_guard lock(mutex_);
                        answers_.push_back({service, std::move(answer)});
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
        for (const auto &entry : answers_) {
            const auto &own = runs[entry.answer_.requestId_];
            std::string line = "request " + entry.answer_.requestId_ + " for " + entry.service_ + " got " + std::to_string(entry.answer_.status_);
            for (const auto &run : own) {
                line += ", run at " + run.target_ + " of " + run.service_;
            }
            const bool isForeign = std::ranges::any_of(own, [&entry](const Run &run) {
                return run.service_ != entry.service_;
            });
            if (isForeign) {
                record_.writeBreak(line);
            } else {
                record_.write(line);
            }
        }
        if (answers_.empty()) {
            return record_.end(Verdict::NotRun, "no requests were made");
        }
        const std::string text =
            std::to_string(record_.breakCount()) + " of " + std::to_string(answers_.size()) + " requests were run by a service that no configuration allows";
        return record_.end(record_.breakCount() > 0 ? Verdict::Broken : Verdict::Held, text);
    }

    struct Call
    {
        std::string service_;
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
        std::cerr << "usage: entry-without-start FOLDER\n";
        return static_cast<int>(Verdict::NotRun);
    }
    try {
        return Case(arguments[1]).run();
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}
