// The subcommands of the program.
#pragma once

#include "Settings.h"

#include <LibGateway/LibGateway.h>

#include <string>
#include <vector>

namespace Goldcrestwall {

// The exit statuses of the program; docs/operators/COMMANDS.md lists them.
enum class ExitStatus : int {
    Success = 0,
    // A statement was refused, or a configuration is not valid.
    Refused = 1,
    // The command line or a setting is wrong.
    Usage = 2,
    // The instance or an address could not be reached or used.
    Unavailable = 3,
    // The outcome of a command is not known.
    Unknown = 4,
};

// Runs an instance until SIGTERM or SIGINT, then stops as planned.
ExitStatus serve(const ServeSettings &settings);

// Runs an instance on the platform until it is asked to stop; only checks its settings if `isCheckOnly` is set.
ExitStatus route(const Gateway::GatewayOptions &options, bool isCheckOnly);

// Where and as whom statements are sent.
struct QueryTarget
{
    std::string address_;
    std::string operator_;
    std::string token_;
    bool isJson_ = false;

    auto operator<=>(const QueryTarget &) const = default;
};

// Sends each statement to an instance and prints the answers; stops at the first that is not carried out.
ExitStatus query(const QueryTarget &target, const std::vector<std::string> &statements);

// Checks a configuration file and prints what is wrong with it.
ExitStatus checkFile(const std::string &file);

} // namespace Goldcrestwall
