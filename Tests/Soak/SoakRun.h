// Plays one series of faults on router processes and checks the promises.
#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <filesystem>
#include <string>

namespace Goldcrestwall::Soak {

constexpr Duration SeriesLength = 25s;
constexpr std::size_t DefaultInstances = 4;

struct SoakSettings
{
    std::uint64_t seed_ = 1;
    std::size_t instances_ = DefaultInstances;
    // The folder for the logs of series with findings; they are not kept if it is empty.
    std::filesystem::path logFolder_;
};

struct SoakReport
{
    std::size_t findings_ = 0;
    // The number of findings by rule, in one line.
    std::string summary_;
    // The story of the faults, and the findings with the log lines of their requests. Empty if there are none.
    std::string text_;
};

SoakReport runSoak(const SoakSettings &settings);

} // namespace Goldcrestwall::Soak
