// Values of the store's entries in tests of the view.
#pragma once

#include <LibGateway/LibGateway.h>

#include <string>

namespace Goldcrestwall::Gateway {

// A configuration without services.
inline std::string configurationText(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"resources":[]})";
}

// The entry of a server of service "one" in the failure domain "north".
inline std::string serverText(const std::string &state = "ready", UnixMilliseconds startTime = 0, int sequence = 0)
{
    return R"({"service":"one","address":"10.1.0.9:8080","zone":"north","version":"v1","capacity":2,"state":")" + state + R"(","warmupLeftS":0,"sequence":)"
        + std::to_string(sequence) + R"(,"born":)" + std::to_string(startTime) + "}";
}

} // namespace Goldcrestwall::Gateway
