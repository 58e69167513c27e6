// Reports what tests of a deployment find wrong.
#include "Findings.h"

#include <cppunit/TestAssert.h>

#include <unistd.h>

#include <algorithm>

namespace Goldcrestwall::OnPlatform {

void append(std::vector<std::string> &texts, const std::vector<std::string> &more)
{
    texts.insert(texts.end(), more.begin(), more.end());
}

std::string keepLogs(const Deployment &deployment)
{
    static int number = 0;
    const std::string name = "goldcrestwall-findings-" + std::to_string(::getpid()) + "-" + std::to_string(number++);
    const auto folder = std::filesystem::temp_directory_path() / name;
    deployment.copyLogs(folder);
    return folder.string();
}

void checkNone(const Findings &findings)
{
    constexpr std::size_t MaxTexts = 8;
    if (findings.texts_.empty()) {
        return;
    }
    std::string message = std::to_string(findings.texts_.size()) + " findings, logs in " + findings.logs_;
    for (std::size_t i = 0; i < std::min(findings.texts_.size(), MaxTexts); ++i) {
        message += "\n" + findings.texts_[i];
    }
    CPPUNIT_FAIL(message + "\nlast: " + findings.texts_.back());
}

void checkNone(const Deployment &deployment, const std::vector<std::string> &texts)
{
    if (!texts.empty()) {
        checkNone(Findings{texts, keepLogs(deployment)});
    }
}

} // namespace Goldcrestwall::OnPlatform
