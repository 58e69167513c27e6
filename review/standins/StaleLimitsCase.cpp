// The operator raises the limits on callers' requests while callers keep connections open.
#include "CaseKit.h"

#include <iostream>
#include <thread>

using namespace Goldcrestwall::Review;

namespace {

constexpr std::size_t RouterCount = 3;
constexpr std::size_t ConnectionsPerRouter = 10;
// The configuration has to be in force 2 s after the store has accepted it (`configApplyS`). Callers wait longer, and less than four
// fifths of the limit on idle connections (15 s).
constexpr auto WaitAfterChange = std::chrono::seconds(6);
constexpr std::size_t LargeBody = 200000;
constexpr std::size_t LongPadding = 8000;
constexpr int ContentTooLarge = 413;
constexpr int HeaderTooLarge = 431;

const CallerLimits SmallLimits{4096, 65536};
const CallerLimits LargeLimits{16384, 1048576};

// A request that only the raised limits allow.
CallerRequest makeLargeRequest(std::size_t number)
{
    CallerRequest request;
    if (number % 2 == 0) {
        request.method_ = "POST";
        request.path_ = "/book/x";
        request.body_.assign(LargeBody, 'b');
    } else {
        request.padding_.assign(LongPadding, 'p');
    }
    return request;
}

CaseResult runCase(const std::string &program, Record &record)
{
    // Without the disruption, the raised limits are in force from the start.
    SmallDeployment deployment(RouterCount, hasTrouble() ? SmallLimits : LargeLimits, program, record);
    if (!deployment.start()) {
        record.write("the deployment does not serve");
        return CaseResult::NotRun;
    }
    std::vector<std::unique_ptr<CallerConnection>> connections;
    for (std::size_t i = 0; i < RouterCount * ConnectionsPerRouter; ++i) {
        connections.push_back(std::make_unique<CallerConnection>(deployment.router(i % RouterCount).callerPort(), record));
        if (connections.back()->call(deployment.nextRequestId(), CallerRequest()).status_ != 200) {
            record.write("a small request is not served");
            return CaseResult::NotRun;
        }
    }
    if (hasTrouble()) {
        deployment.putConfiguration(LargeLimits);
    }
    std::this_thread::sleep_for(WaitAfterChange);
    for (std::size_t i = 0; i < 2 * RouterCount; ++i) {
        CallerConnection connection(deployment.router(i % RouterCount).callerPort(), record);
        if (connection.call(deployment.nextRequestId(), makeLargeRequest(i / RouterCount)).status_ != 200) {
            record.write("a large request on a new connection is not served");
            return CaseResult::NotRun;
        }
    }
    std::size_t refused = 0;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const auto answer = connections[i]->call(deployment.nextRequestId(), makeLargeRequest(i));
        refused += answer.status_ == ContentTooLarge || answer.status_ == HeaderTooLarge ? 1 : 0;
    }
    record.write(std::to_string(refused) + " of " + std::to_string(connections.size())
                 + " requests on kept connections were refused as only the older configuration demands");
    return refused == 0 ? CaseResult::Held : CaseResult::Broken;
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    if (argumentCount != 3) {
        std::cerr << "usage: case-stale-limits PROGRAM RECORD_FILE\n";
        return static_cast<int>(CaseResult::NotRun);
    }
    Record record(argumentValues[2]);
    const auto verdict = runCase(argumentValues[1], record);
    record.write("exit status " + std::to_string(static_cast<int>(verdict)));
    return static_cast<int>(verdict);
}
