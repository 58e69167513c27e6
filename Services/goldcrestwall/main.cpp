// The command line of goldcrestwall, which runs an instance or sends statements to one.
#include "Commands.h"

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <charconv>
#include <iostream>

namespace {

using Goldcrestwall::ExitStatus;

constexpr const char *Version = "goldcrestwall 0.1.0";

constexpr const char *UsageHeader = R"(goldcrestwall: a router for backend servers that own their keys exclusively

Usage:
  goldcrestwall serve [options]
  goldcrestwall check-settings [options]
  goldcrestwall route [--settings=FILE] [--metrics-port=PORT] [--check]
  goldcrestwall check FILE
  goldcrestwall query --at=ADDRESS [--operator=NAME] [--token=TOKEN] [--json] [STATEMENT...]
  goldcrestwall hash CREDENTIAL
  goldcrestwall (-h | --help)
  goldcrestwall --version

`serve` runs an instance with its own settings; `route` runs one on the platform, with the platform's settings file.
Without STATEMENT, query reads statements from standard input, one per line.

Query options:
  --at=ADDRESS       IP:PORT of an instance for operators.
  --operator=NAME    Name of the operator [default: operator].
  --token=TOKEN      Token of the operator; otherwise the variable OPERATOR_TOKEN.
  --json             Answer as JSON.

Route options:
  --settings=FILE      The platform's settings file; otherwise the variable GOLDCRESTWALL_NODE_FILE.
  --metrics-port=PORT  Port of the metrics at the instance's address [default: 9464].
  --check              Only check the settings file.

Serve options: (each also as a variable GOLDCRESTWALL_NAME)
)";

using Arguments = std::map<std::string, docopt::value>;

int toInt(ExitStatus status)
{
    return static_cast<int>(status);
}

ExitStatus runServe(const Arguments &arguments)
{
    const auto check = Goldcrestwall::checkSettings(arguments, Goldcrestwall::readEnvironment());
    for (const auto &problem : check.problems_) {
        std::cerr << "setting " << problem.name_ << " has the value '" << problem.value_ << "'; accepted: " << problem.accepted_ << '\n';
    }
    if (!check.settings_) {
        return ExitStatus::Usage;
    }
    if (arguments.at("check-settings").asBool()) {
        std::cout << "the settings are valid\n";
        return ExitStatus::Success;
    }
    return Goldcrestwall::serve(*check.settings_);
}

ExitStatus runRoute(const Arguments &arguments)
{
    const auto environment = Goldcrestwall::readEnvironment();
    const auto variable = environment.find("GOLDCRESTWALL_NODE_FILE");
    Goldcrestwall::Gateway::GatewayOptions options;
    if (arguments.at("--settings").isString()) {
        options.settingsPath_ = arguments.at("--settings").asString();
    } else if (variable != environment.end()) {
        options.settingsPath_ = variable->second;
    }
    const std::string port = arguments.at("--metrics-port").asString();
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), options.metricsPort_);
    if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
        std::cerr << "--metrics-port has the value '" << port << "'; accepted: 0 to 65535\n";
        return ExitStatus::Usage;
    }
    return Goldcrestwall::route(options, arguments.at("--check").asBool());
}

ExitStatus runQuery(const Arguments &arguments)
{
    const auto environment = Goldcrestwall::readEnvironment();
    const auto token = environment.find("OPERATOR_TOKEN");
    Goldcrestwall::QueryTarget target;
    target.address_ = arguments.at("--at").asString();
    target.operator_ = arguments.at("--operator").asString();
    target.token_ = arguments.at("--token").isString() ? arguments.at("--token").asString() : token == environment.end() ? std::string() : token->second;
    target.isJson_ = arguments.at("--json").asBool();
    std::vector<std::string> statements = arguments.at("STATEMENT").asStringList();
    if (statements.empty()) {
        for (std::string line; std::getline(std::cin, line);) {
            if (!line.empty()) {
                statements.push_back(line);
            }
        }
    }
    return Goldcrestwall::query(target, statements);
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    // Instances have no disk, so logs go to standard error.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argumentValues[0]);
    const std::string usage = UsageHeader + Goldcrestwall::describeServeFlags();
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argumentValues + 1, argumentValues + argumentCount}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return toInt(ExitStatus::Success);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << Version << '\n';
        return toInt(ExitStatus::Success);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\nsee goldcrestwall --help\n";
        return toInt(ExitStatus::Usage);
    }
    if (arguments.at("route").asBool()) {
        return toInt(runRoute(arguments));
    }
    if (arguments.at("serve").asBool() || arguments.at("check-settings").asBool()) {
        return toInt(runServe(arguments));
    }
    if (arguments.at("check").asBool()) {
        return toInt(Goldcrestwall::checkFile(arguments.at("FILE").asString()));
    }
    if (arguments.at("hash").asBool()) {
        std::cout << Goldcrestwall::hashCredential(arguments.at("CREDENTIAL").asString()) << '\n';
        return toInt(ExitStatus::Success);
    }
    return toInt(runQuery(arguments));
}
