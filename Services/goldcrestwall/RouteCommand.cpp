// Implements the subcommand `route`.
#include "Commands.h"

#include <iostream>

namespace Goldcrestwall {

ExitStatus route(const Gateway::GatewayOptions &options, bool isCheckOnly)
{
    const auto reading = Platform::readSettingsFile(options.settingsPath_);
    for (const auto &problem : reading.problems_) {
        std::cerr << "setting " << problem.name_ << ": " << problem.reason_ << '\n';
    }
    if (!reading.problems_.empty()) {
        return ExitStatus::Usage;
    }
    if (isCheckOnly) {
        std::cout << "the settings are valid\n";
        return ExitStatus::Success;
    }
    auto gateway = Gateway::Gateway::create(options, reading.settings_);
    if (!gateway.isOk()) {
        std::cerr << "cannot listen at the configured addresses: " << gateway.error().message() << '\n';
        return ExitStatus::Unavailable;
    }
    gateway.value()->run();
    return ExitStatus::Success;
}

} // namespace Goldcrestwall
