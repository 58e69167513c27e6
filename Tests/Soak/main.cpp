// Runs the tests with fixed seeds like other test programs, or any number of seeds by hand.
#include "SoakRun.h"

#include <Tests/RunTests.h>

#include <charconv>
#include <iostream>
#include <optional>
#include <string_view>
#include <vector>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Soak;

namespace {

constexpr int UsageError = 2;
constexpr const char *Usage = "Usage: TestSoak [TEST]\n       TestSoak --seeds FIRST COUNT [--instances N] [--logs FOLDER]\n";

struct SeedRange
{
    std::uint64_t first_ = 0;
    std::uint64_t count_ = 0;
    SoakSettings settings_;
};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::make_optional(number) : std::nullopt;
}

// Returns nothing if the arguments are not understood.
std::optional<SeedRange> parseArguments(const std::vector<std::string_view> &arguments)
{
    SeedRange range;
    for (std::size_t i = 0; i < arguments.size();) {
        const std::size_t left = arguments.size() - i - 1;
        if (arguments[i] == "--seeds" && left >= 2) {
            const auto first = parseNumber(arguments[i + 1]);
            const auto count = parseNumber(arguments[i + 2]);
            if (!first || !count) {
                return std::nullopt;
            }
            range.first_ = *first;
            range.count_ = *count;
            i += 3;
        } else if (arguments[i] == "--instances" && left >= 1) {
            const auto instances = parseNumber(arguments[i + 1]);
            if (!instances || *instances == 0) {
                return std::nullopt;
            }
            range.settings_.instances_ = *instances;
            i += 2;
        } else if (arguments[i] == "--logs" && left >= 1) {
            range.settings_.logFolder_ = arguments[i + 1];
            i += 2;
        } else {
            return std::nullopt;
        }
    }
    return range.count_ > 0 ? std::make_optional(range) : std::nullopt;
}

int runSeeds(SeedRange range)
{
    std::uint64_t failed = 0;
    for (std::uint64_t i = 0; i < range.count_; ++i) {
        range.settings_.seed_ = range.first_ + i;
        const auto report = runSoak(range.settings_);
        failed += report.findings_ > 0 ? 1 : 0;
        std::cout << report.text_ << report.summary_ << std::endl;
    }
    std::cout << range.count_ - failed << " seeds passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::vector<std::string_view> texts(arguments + 1, arguments + argumentCount);
    if (texts.empty() || !texts.front().starts_with("--")) {
        return runRegisteredTests(argumentCount, arguments);
    }
    const auto range = parseArguments(texts);
    if (!range) {
        std::cerr << arguments[0] << ": unknown or incomplete arguments\n" << Usage;
        return UsageError;
    }
    return runSeeds(*range);
}
