// The settings of `serve`. Each can be given as a flag or as an environment variable.
#pragma once

#include <LibRuntime/LibRuntime.h>

#include <docopt/docopt.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall {

// An invalid setting, with its value and the values that are accepted.
struct SettingProblem
{
    std::string name_;
    std::string value_;
    std::string accepted_;

    auto operator<=>(const SettingProblem &) const = default;
};

// The settings of `serve`.
struct ServeSettings
{
    InstanceSettings instance_;
    std::string bootstrapTokenHash_;
};

// Valid settings, or all problems found in them.
struct SettingsCheck
{
    std::optional<ServeSettings> settings_;
    std::vector<SettingProblem> problems_;
};

using Environment = std::map<std::string, std::string>;

// Returns the environment variables of the process.
Environment readEnvironment();

// Describes the flags of `serve` in docopt's format.
std::string describeServeFlags();

// Combines flags and environment variables; a flag takes precedence over the variable of the same setting. A variable that starts
// with GOLDCRESTWALL_ but names no setting is reported as a problem, so that a misspelt one is not silently ignored.
SettingsCheck checkSettings(const std::map<std::string, docopt::value> &flags, const Environment &environment);

} // namespace Goldcrestwall
