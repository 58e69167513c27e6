// The subcommands of the goldcrestwall program.
#pragma once

#include "Settings.h"

#include <LibGateway/LibGateway.h>

#include <string>
#include <vector>

namespace Goldcrestwall {

// The exit statuses of the program, documented in docs/operators/COMMANDS.md.
enum class ExitStatus : int {
    Success = 0,
    // A statement was rejected, or a configuration is invalid.
    Refused = 1,
    // The command line or a setting is invalid.
    Usage = 2,
    // The instance could not be reached, or an address could not be bound.
    Unavailable = 3,
    // The outcome of a command is unknown.
    Unknown = 4,
};

// Runs an instance until SIGTERM or SIGINT, then shuts it down gracefully.
ExitStatus serve(const ServeSettings &settings);

// Runs an instance on the platform until it is asked to stop. If `isCheckOnly` is set, only validates its settings.
ExitStatus route(const Gateway::GatewayOptions &options, bool isCheckOnly);

// The operator address of an instance, and the operator's credentials.
struct QueryTarget
{
    std::string address_;
    std::string operator_;
    std::string token_;
    bool isJson_ = false;

    auto operator<=>(const QueryTarget &) const = default;
};

// Sends the statements to an instance one after the other and prints the answers. Stops at the first that is not executed.
ExitStatus query(const QueryTarget &target, const std::vector<std::string> &statements);

// Validates a configuration file and prints its problems.
ExitStatus checkFile(const std::string &file);

} // namespace Goldcrestwall
