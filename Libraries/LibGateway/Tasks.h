// Starts tasks on the loop so that an unexpected exception ends no more than the task, and is logged.
#pragma once

#include <LibGateway/EventLog.h>

#include <LibHttp/LibHttp.h>

#include <exception>
#include <functional>

namespace Goldcrestwall::Gateway {

using TaskFunction = std::function<Task<void>()>;

// Logs an exception that nobody expected; `task` says where it came from.
void logUnexpected(EventLog &log, const char *task, const std::exception_ptr &failure);

// Runs a task once. The log outlives the loop.
void spawn(asio::io_context &loop, EventLog &log, const char *name, TaskFunction task);

// Runs a task on which the instance depends: after an exception it begins anew, until it returns.
void spawnSupervised(asio::io_context &loop, EventLog &log, const char *name, TaskFunction task);

} // namespace Goldcrestwall::Gateway
