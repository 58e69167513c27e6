// Exception logging and restarts of tasks.
#include "Tasks.h"

namespace Goldcrestwall::Gateway {

namespace {

// Keeps a task that fails repeatedly from using a whole processor.
constexpr Duration RestartDelay = 100ms;

std::string reasonOf(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "exception of unknown type";
    }
}

Task<void> supervise(asio::io_context &loop, EventLog &log, const char *name, TaskFunction task)
{
    for (;;) {
        std::exception_ptr failure;
        try {
            co_await task();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure) {
            co_return;
        }
        logUnexpected(log, name, failure);
        co_await sleepFor(loop, RestartDelay);
    }
}

} // namespace

void logUnexpected(EventLog &log, const char *task, const std::exception_ptr &failure)
{
    log.write(LogLine("unexpected-error").add("task", task).add("reason", reasonOf(failure)), LogImportance::State, bootNow());
}

void spawn(asio::io_context &loop, EventLog &log, const char *name, TaskFunction task)
{
    asio::co_spawn(loop, std::move(task), [&log, name](const std::exception_ptr &failure) {
        if (failure) {
            logUnexpected(log, name, failure);
        }
    });
}

void spawnSupervised(asio::io_context &loop, EventLog &log, const char *name, TaskFunction task)
{
    spawn(loop, log, name, [&loop, &log, name, task = std::move(task)] {
        return supervise(loop, log, name, task);
    });
}

} // namespace Goldcrestwall::Gateway
