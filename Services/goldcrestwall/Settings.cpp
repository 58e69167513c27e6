// Parses and validates the settings of `serve`.
#include "Settings.h"

#include <Poco/Net/IPAddress.h>

#include <array>
#include <iomanip>
#include <limits>
#include <sstream>

extern char **environ;

namespace Goldcrestwall {

namespace {

constexpr std::string_view VariablePrefix = "GOLDCRESTWALL_";

enum class SettingKind {
    Name,
    Address,
    AddressList,
    Number,
    Hash,
    Prefix,
};

// A setting: its flag without dashes, its type and its default. A setting without a default is required. The limits apply to numbers.
struct SettingDescription
{
    const char *name_;
    SettingKind kind_;
    const char *default_;
    const char *description_;
    long minimum_ = 0;
    long maximum_ = 0;
};

constexpr std::array Descriptions{
    SettingDescription{"instance", SettingKind::Name, nullptr, "Name of this instance, unique in the deployment."},
    SettingDescription{"domain", SettingKind::Name, nullptr, "Failure domain this instance runs in."},
    SettingDescription{"caller-address", SettingKind::Address, nullptr, "IP:PORT to listen on for callers."},
    SettingDescription{"peer-address", SettingKind::Address, nullptr, "IP:PORT to listen on for other instances; must be reachable by them."},
    SettingDescription{"operator-address", SettingKind::Address, nullptr, "IP:PORT to listen on for operators."},
    SettingDescription{"store", SettingKind::Address, nullptr, "IP:PORT of the platform's key-value service."},
    SettingDescription{"store-prefix", SettingKind::Prefix, "goldcrestwall/", "Prefix of all keys in the key-value service."},
    SettingDescription{"store-timeout-ms", SettingKind::Number, "1000", "Time-out of one call to the key-value service, in milliseconds.", 10, 60000},
    SettingDescription{"seeds", SettingKind::AddressList, "", "Comma-separated peer addresses of other instances."},
    SettingDescription{"bootstrap-token-hash", SettingKind::Hash, "", "SHA-256 of the token that may put the first configuration."},
    SettingDescription{"dispatch-threads", SettingKind::Number, "256", "Requests from other instances dispatched at the same time.", 1, 4096},
    SettingDescription{"caller-connections", SettingKind::Number, "512", "Connections from callers served at the same time.", 1, 16384},
    SettingDescription{"max-body-bytes", SettingKind::Number, "1048576", "Maximum size of a request body.", 0, 16777216},
    SettingDescription{"stop-timeout-s", SettingKind::Number, "20", "Seconds that a graceful stop may take.", 1, 600},
};

std::string variableOf(const std::string &name)
{
    std::string variable(VariablePrefix);
    for (const char character : name) {
        variable += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return variable;
}

bool isName(const std::string &value)
{
    return !value.empty() && value.size() <= 64
        && value.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
}

bool isNumber(const std::string &value, long minimum, long maximum)
{
    const bool hasDigits = !value.empty() && value.size() <= 10 && value.find_first_not_of("0123456789") == std::string::npos;
    return hasDigits && std::stol(value) >= minimum && std::stol(value) <= maximum;
}

bool isAddress(const std::string &value)
{
    const std::size_t colon = value.rfind(':');
    Poco::Net::IPAddress address;
    return colon != std::string::npos && Poco::Net::IPAddress::tryParse(value.substr(0, colon), address)
        && isNumber(value.substr(colon + 1), 1, std::numeric_limits<std::uint16_t>::max());
}

std::vector<std::string> splitList(const std::string &value)
{
    std::vector<std::string> items;
    std::istringstream stream(value);
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

bool isHash(const std::string &value)
{
    return value.size() == 64 && value.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isValid(const SettingDescription &description, const std::string &value)
{
    const bool isOptional = description.default_ && std::string_view(description.default_).empty();
    if (isOptional && value.empty()) {
        return true;
    }
    switch (description.kind_) {
    case SettingKind::Name:
        return isName(value);
    case SettingKind::Address:
        return isAddress(value);
    case SettingKind::AddressList: {
        const std::vector<std::string> items = splitList(value);
        return std::all_of(items.begin(), items.end(), isAddress);
    }
    case SettingKind::Number:
        return isNumber(value, description.minimum_, description.maximum_);
    case SettingKind::Hash:
        return isHash(value);
    case SettingKind::Prefix:
        return !value.empty() && value.back() == '/';
    }
    return false;
}

std::string describeAccepted(const SettingDescription &description)
{
    switch (description.kind_) {
    case SettingKind::Name:
        return "1 to 64 letters, digits, '-', '_' or '.'";
    case SettingKind::Address:
        return "an IP number and a port, like 10.0.0.7:8080";
    case SettingKind::AddressList:
        return "comma-separated IP numbers and ports, like 10.0.0.7:8080,10.0.0.8:8080";
    case SettingKind::Number:
        return "a whole number from " + std::to_string(description.minimum_) + " to " + std::to_string(description.maximum_);
    case SettingKind::Hash:
        return "a SHA-256 as 64 lower-case hexadecimal digits";
    case SettingKind::Prefix:
        return "a string that ends with '/'";
    }
    return {};
}

ServeSettings makeSettings(std::map<std::string, std::string> &values)
{
    ServeSettings settings;
    InstanceSettings &instance = settings.instance_;
    instance.callerAddress_ = values["caller-address"];
    instance.peerAddress_ = values["peer-address"];
    instance.operatorAddress_ = values["operator-address"];
    instance.store_.address_ = values["store"];
    instance.store_.prefix_ = values["store-prefix"];
    instance.store_.timeout_ = std::chrono::milliseconds(std::stol(values["store-timeout-ms"]));
    instance.coordinator_.instance_ = InstanceId(values["instance"]);
    instance.coordinator_.address_ = values["peer-address"];
    instance.coordinator_.domain_ = DomainId(values["domain"]);
    instance.coordinator_.seeds_ = splitList(values["seeds"]);
    instance.caller_.maxConnections_ = std::stoi(values["caller-connections"]);
    instance.caller_.maxBodyBytes_ = std::stoul(values["max-body-bytes"]);
    instance.dispatchThreads_ = std::stoul(values["dispatch-threads"]);
    instance.stopTimeout_ = std::chrono::seconds(std::stol(values["stop-timeout-s"]));
    settings.bootstrapTokenHash_ = values["bootstrap-token-hash"];
    return settings;
}

} // namespace

Environment readEnvironment()
{
    Environment environment;
    for (char **entry = environ; *entry; ++entry) {
        const std::string text = *entry;
        const std::size_t equals = text.find('=');
        if (equals != std::string::npos) {
            environment.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    return environment;
}

std::string describeServeFlags()
{
    std::ostringstream text;
    for (const SettingDescription &description : Descriptions) {
        text << "  --" << std::left << std::setw(32) << (std::string(description.name_) + "=VALUE") << "  " << description.description_ << '\n';
    }
    return text.str();
}

SettingsCheck checkSettings(const std::map<std::string, docopt::value> &flags, const Environment &environment)
{
    SettingsCheck check;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> known;
    // 1. Take each setting from its flag, or else from its variable, or else from its default.
    for (const SettingDescription &description : Descriptions) {
        const std::string variable = variableOf(description.name_);
        known[variable] = description.name_;
        const auto flag = flags.find("--" + std::string(description.name_));
        const auto variableEntry = environment.find(variable);
        std::optional<std::string> value;
        if (flag != flags.end() && flag->second.isString()) {
            value = flag->second.asString();
        } else if (variableEntry != environment.end()) {
            value = variableEntry->second;
        } else if (description.default_) {
            value = description.default_;
        }
        const std::string name = "--" + std::string(description.name_) + " (" + variable + ")";
        if (!value) {
            check.problems_.push_back({name, "(not given)", describeAccepted(description)});
        } else if (!isValid(description, *value)) {
            check.problems_.push_back({name, *value, describeAccepted(description)});
        } else {
            values[description.name_] = *value;
        }
    }
    // 2. Report variables that have the prefix of settings but name none.
    for (const auto &[variable, value] : environment) {
        if (variable.starts_with(VariablePrefix) && !known.contains(variable)) {
            check.problems_.push_back({variable, value, "no setting has this name"});
        }
    }
    if (check.problems_.empty()) {
        check.settings_ = makeSettings(values);
    }
    return check;
}

} // namespace Goldcrestwall
