// What a test of a deployment finds wrong, collected before it fails.
#pragma once

#include "Deployment.h"

namespace Goldcrestwall::OnPlatform {

// What is wrong, one text for each case, and where the logs of the instances are kept.
struct Findings
{
    std::vector<std::string> texts_ = {};
    std::string logs_ = {};
};

void append(std::vector<std::string> &texts, const std::vector<std::string> &more);
// Copies the logs of all instances to a folder for temporary files, and returns its path.
std::string keepLogs(const Deployment &deployment);
// The test fails if there are any.
void checkNone(const Findings &findings);
void checkNone(const Deployment &deployment, const std::vector<std::string> &texts);

} // namespace Goldcrestwall::OnPlatform
