// Classification of header fields.
#include <LibBackend/HttpExchange.h>

#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace Goldcrestwall {

bool isHopByHopHeader(const std::string &name)
{
    static constexpr std::array<const char *, 10> Names{
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host"};
    return std::any_of(Names.begin(), Names.end(), [&](const char *candidate) {
        return Poco::icompare(name, candidate) == 0;
    });
}

bool isRouterHeader(const std::string &name)
{
    constexpr std::string_view Prefix = "goldcrestwall-";
    return name.size() >= Prefix.size() && Poco::icompare(name, 0, Prefix.size(), std::string(Prefix)) == 0;
}

} // namespace Goldcrestwall
