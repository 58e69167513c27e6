// Another writer overwrites the entry of a server by one in which fields are missing and the service is another one.
#include "CaseKit.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <thread>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Review;

namespace {

constexpr std::size_t RouterCount = 2;
constexpr std::size_t OtherServerCount = 2;
// The targets write their entries about every `heartbeatS`, 0.87 s in the routers' settings.
constexpr auto HeartbeatInterval = std::chrono::milliseconds(870);
// How many heartbeats pass between two entries of the other writer.
constexpr std::size_t HeartbeatsBetweenForeignEntries = 3;
constexpr std::size_t ForeignEntryCount = 4;
constexpr auto BookingInterval = std::chrono::milliseconds(10);
constexpr std::size_t CallersPerRouter = 6;

// The entry of a server as another writer leaves it: `version`, `warmupLeftS`, `sequence` and `born` are missing.
void writeForeignEntry(const PlatformServerStandIn &server, PlatformStoreStandIn &store, Record &record)
{
    const std::string entry = R"({"service":"plain","address":")" + server.address() + R"(","zone":"north","capacity":2,"state":"ready"})";
    store.put("servers/" + server.id(), entry);
    record.write("another writer has written servers/" + server.id() + ": " + entry);
}

// Sends bookings on a kept connection until `isOver`.
std::vector<CallerAnswer> sendBookings(std::uint16_t port, const std::string &prefix, const std::atomic<bool> &isOver, Record &record)
{
    CallerRequest booking;
    booking.method_ = "POST";
    booking.path_ = "/book/x";
    booking.body_ = "one room";
    CallerConnection connection(port, record);
    std::vector<CallerAnswer> answers;
    while (!isOver) {
        answers.push_back(connection.call(prefix + std::to_string(answers.size()), booking));
        std::this_thread::sleep_for(BookingInterval);
    }
    return answers;
}

CaseResult judge(const std::vector<CallerAnswer> &answers, const PlatformRunRecorder &recorder, Record &record)
{
    std::size_t runsElsewhere = 0;
    std::map<std::string, std::size_t> bookingsRun;
    for (const auto &run : recorder.runs()) {
        const bool isBooking = run.path_.starts_with("/book/");
        const bool isOtherServer = run.server_.starts_with("o-");
        bookingsRun[run.server_] += isBooking ? 1 : 0;
        if (isBooking && isOtherServer) {
            ++runsElsewhere;
            record.write("broken: " + run.requestId_ + ", a booking for the service plain, was run by " + run.server_ + " of the service other");
        }
    }
    for (const auto &[server, count] : bookingsRun) {
        record.write(server + " ran " + std::to_string(count) + " bookings");
    }
    const auto served = std::ranges::count(answers, 200, &CallerAnswer::status_);
    const auto servedElsewhere = std::ranges::count_if(answers, [](const CallerAnswer &answer) {
        return answer.status_ == 200 && answer.body_.starts_with("o-");
    });
    record.write(std::to_string(answers.size()) + " bookings, " + std::to_string(served) + " served; " + std::to_string(runsElsewhere)
                 + " were run by the other service, whose answer " + std::to_string(servedElsewhere) + " callers got as a success");
    if (static_cast<std::size_t>(served) < answers.size() / 2) {
        return CaseResult::NotRun;
    }
    return runsElsewhere == 0 ? CaseResult::Held : CaseResult::Broken;
}

CaseResult runCase(const std::string &program, Record &record)
{
    SmallDeployment deployment(RouterCount, CallerLimits(), program, record);
    deployment.addService("other");
    std::vector<std::unique_ptr<PlatformServerStandIn>> others;
    for (std::size_t i = 0; i < OtherServerCount; ++i) {
        PlatformServerBehaviour behaviour;
        behaviour.service_ = "other";
        others.push_back(std::make_unique<PlatformServerStandIn>("o-" + std::to_string(i), behaviour, deployment.store(), deployment.recorder()));
        others.back()->registerEntry();
    }
    if (!deployment.start()) {
        record.write("the deployment does not serve");
        return CaseResult::NotRun;
    }
    CallerRequest lookup;
    lookup.path_ = "/other/x";
    if (CallerConnection(deployment.router(0).callerPort(), record).call(deployment.nextRequestId(), lookup).status_ != 200) {
        record.write("the service other does not serve");
        return CaseResult::NotRun;
    }
    std::atomic<bool> isOver = false;
    std::vector<std::vector<CallerAnswer>> answers(RouterCount * CallersPerRouter);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([&, i] {
            answers[i] = sendBookings(deployment.router(i % RouterCount).callerPort(), "c" + std::to_string(i) + "-", isOver, record);
        });
    }
    for (std::size_t beat = 0; beat < ForeignEntryCount * HeartbeatsBetweenForeignEntries; ++beat) {
        std::this_thread::sleep_for(HeartbeatInterval);
        for (const auto &server : others) {
            server->registerEntry();
        }
        if (hasTrouble() && beat % HeartbeatsBetweenForeignEntries == 0) {
            std::this_thread::sleep_for(HeartbeatInterval / 4);
            writeForeignEntry(*others.front(), deployment.store(), record);
        }
    }
    isOver = true;
    std::vector<CallerAnswer> all;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        callers[i].join();
        all.insert(all.end(), answers[i].begin(), answers[i].end());
    }
    return judge(all, deployment.recorder(), record);
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    if (argumentCount != 3) {
        std::cerr << "usage: case-foreign-entry PROGRAM RECORD_FILE\n";
        return static_cast<int>(CaseResult::NotRun);
    }
    Record record(argumentValues[2]);
    const auto verdict = runCase(argumentValues[1], record);
    record.write("exit status " + std::to_string(static_cast<int>(verdict)));
    return static_cast<int>(verdict);
}
