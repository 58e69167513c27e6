// Starts coroutines on the event loop so that an unexpected exception is logged and ends only that task.
#pragma once

#include <LibGateway/EventLog.h>

#include <LibHttp/LibHttp.h>

#include <exception>
#include <functional>

namespace Goldcrestwall::Gateway {

using TaskFunction = std::function<Task<void>()>;

// Logs an unexpected exception; `task` names the task that threw it.
void logUnexpected(EventLog &log, const char *task, const std::exception_ptr &failure);

// Runs a task once. The log must outlive the loop.
void spawn(asio::io_context &loop, EventLog &log, const char *name, TaskFunction task);

// Runs a task that the instance depends on: after an exception it is restarted, until it returns normally.
void spawnSupervised(asio::io_context &loop, EventLog &log, const char *name, TaskFunction task);

} // namespace Goldcrestwall::Gateway
