// Parses, validates and formats configuration documents.
#include <LibConfiguration/Configuration.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <sstream>

namespace Goldcrestwall {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxDocumentBytes = 512 * 1024;
constexpr std::size_t HashLength = 64;
constexpr std::size_t MaxServersPerService = 4096;
// Limits the nesting, because the JSON parser is recursive.
constexpr std::size_t MaxDepth = 16;

// An enumerator and its name in documents.
template<typename Enum>
struct EnumName
{
    Enum value_;
    const char *name_;
};
template<typename Enum>
EnumName(Enum, const char *) -> EnumName<Enum>;

constexpr std::array DomainStateNames{EnumName{DomainState::In, "in"}, EnumName{DomainState::Out, "out"}};
constexpr std::array ServerStateNames{EnumName{ServerState::In, "in"}, EnumName{ServerState::Draining, "draining"}, EnumName{ServerState::Out, "out"}};
constexpr std::array ServiceKindNames{EnumName{ServiceKind::Keyed, "keyed"}, EnumName{ServiceKind::Shared, "shared"}};
constexpr std::array TokenCheckingNames{EnumName{TokenChecking::Checks, "checks"}, EnumName{TokenChecking::Ignores, "ignores"}};
constexpr std::array PriorityNames{EnumName{Priority::Interactive, "interactive"}, EnumName{Priority::Export, "export"}};
constexpr std::array OperatorRoleNames{EnumName{OperatorRole::Reader, "reader"}, EnumName{OperatorRole::Commander, "commander"}};

template<typename Enum, std::size_t N>
const char *nameOf(const std::array<EnumName<Enum>, N> &names, Enum value)
{
    for (const auto &name : names) {
        if (name.value_ == value) {
            return name.name_;
        }
    }
    CHECK(false) << "enumerator without a name";
    return "";
}

// Reads the members of one JSON object and collects problems with their paths.
class ObjectReader
{
public:
    ObjectReader(const Poco::Dynamic::Var &value, std::string path, std::vector<ConfigurationProblem> &problems)
        : path_(std::move(path))
        , problems_(problems)
    {
        if (value.type() == typeid(Poco::JSON::Object::Ptr)) {
            object_ = value.extract<Poco::JSON::Object::Ptr>();
        } else {
            addProblem({}, "expected an object");
        }
    }

    // Reports members that have not been read as unknown.
    ~ObjectReader()
    {
        if (!object_) {
            return;
        }
        for (const std::string &name : object_->getNames()) {
            if (!known_.contains(name)) {
                addProblem(name, "unknown member");
            }
        }
    }
    ObjectReader(const ObjectReader &) = delete;
    ObjectReader &operator=(const ObjectReader &) = delete;

    std::string readName(const std::string &member)
    {
        const std::string text = readString(member);
        const bool isValid = !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](char character) {
            return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.';
        });
        if (!isValid) {
            addProblem(member, "expected 1 to 64 letters, digits, '-', '_' or '.'");
        }
        return text;
    }

    std::string readHash(const std::string &member)
    {
        const std::string text = readString(member);
        if (text.size() != HashLength || text.find_first_not_of("0123456789abcdef") != std::string::npos) {
            addProblem(member, "expected a SHA-256 as 64 lower-case hexadecimal digits");
        }
        return text;
    }

    std::string readAddress(const std::string &member)
    {
        const std::string text = readString(member);
        const std::size_t colon = text.rfind(':');
        Poco::Net::IPAddress address;
        const bool hasAddress = colon != std::string::npos && Poco::Net::IPAddress::tryParse(text.substr(0, colon), address);
        const std::string port = hasAddress ? text.substr(colon + 1) : std::string();
        const bool hasPort = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) > 0
            && std::stoi(port) <= std::numeric_limits<std::uint16_t>::max();
        if (!hasPort) {
            addProblem(member, "expected an IP number and a port, like 10.0.0.7:8080");
        }
        return text;
    }

    std::uint32_t readCount(const std::string &member, std::uint32_t defaultValue, std::uint32_t minimum, std::uint32_t maximum)
    {
        return static_cast<std::uint32_t>(readNumber(member, defaultValue, minimum, maximum, Integrality::Whole));
    }

    double readReal(const std::string &member, double defaultValue, double minimum, double maximum)
    {
        return readNumber(member, defaultValue, minimum, maximum, Integrality::Real);
    }

    template<typename Enum, std::size_t N>
    Enum readEnum(const std::string &member, const std::array<EnumName<Enum>, N> &names, Enum defaultValue)
    {
        if (!has(member)) {
            return defaultValue;
        }
        const std::string text = readString(member);
        std::string accepted;
        for (const auto &name : names) {
            if (text == name.name_) {
                return name.value_;
            }
            accepted += (accepted.empty() ? "" : ", ") + std::string(name.name_);
        }
        addProblem(member, "expected one of: " + accepted);
        return defaultValue;
    }

    std::vector<std::string> readMethods(const std::string &member)
    {
        std::vector<std::string> methods;
        const Poco::JSON::Array::Ptr array = readArray(member);
        for (std::size_t index = 0; array && index < array->size(); ++index) {
            const Poco::Dynamic::Var item = array->get(static_cast<unsigned>(index));
            const std::string method = item.isString() ? item.extract<std::string>() : std::string();
            if (method.empty() || method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string::npos) {
                addProblem(member + "[" + std::to_string(index) + "]", "expected an HTTP method in capitals");
            }
            methods.push_back(method);
        }
        return methods;
    }

    // Reads an array of objects; `read(reader)` is called for each element.
    template<typename T, typename Read>
    std::vector<T> readObjects(const std::string &member, const Read &read)
    {
        std::vector<T> values;
        const Poco::JSON::Array::Ptr array = readArray(member);
        for (std::size_t index = 0; array && index < array->size(); ++index) {
            ObjectReader reader(array->get(static_cast<unsigned>(index)), pathOf(member) + "[" + std::to_string(index) + "]", problems_);
            values.push_back(read(reader));
        }
        return values;
    }

    void addProblem(const std::string &member, const std::string &reason)
    {
        problems_.push_back({pathOf(member), reason});
    }

private:
    enum class Integrality {
        Whole,
        Real,
    };

    std::string pathOf(const std::string &member) const
    {
        if (member.empty()) {
            return path_.empty() ? "document" : path_;
        }
        return path_.empty() ? member : path_ + "." + member;
    }

    bool has(const std::string &member)
    {
        known_.insert(member);
        return object_ && object_->has(member);
    }

    std::string readString(const std::string &member)
    {
        if (!has(member) || !object_->get(member).isString()) {
            return {};
        }
        return object_->getValue<std::string>(member);
    }

    double readNumber(const std::string &member, double defaultValue, double minimum, double maximum, Integrality integrality)
    {
        if (!has(member)) {
            return defaultValue;
        }
        const Poco::Dynamic::Var value = object_->get(member);
        const bool isNumber = value.isNumeric() && !value.isBoolean();
        const double number = isNumber ? value.convert<double>() : std::nan("");
        const bool isWhole = integrality == Integrality::Real || std::floor(number) == number;
        if (!isNumber || !isWhole || !(number >= minimum && number <= maximum)) {
            std::ostringstream accepted;
            accepted << "expected a " << (integrality == Integrality::Whole ? "whole " : "") << "number from " << minimum << " to " << maximum;
            addProblem(member, accepted.str());
            return defaultValue;
        }
        return number;
    }

    Poco::JSON::Array::Ptr readArray(const std::string &member)
    {
        if (!has(member)) {
            return nullptr;
        }
        Poco::JSON::Array::Ptr array = object_->isArray(member) ? object_->getArray(member) : nullptr;
        if (!array) {
            addProblem(member, "expected an array");
        }
        return array;
    }

    Poco::JSON::Object::Ptr object_;
    std::string path_;
    std::set<std::string> known_;
    std::vector<ConfigurationProblem> &problems_;
};

ServerConfiguration readServer(ObjectReader &reader)
{
    ServerConfiguration server;
    server.id_ = ServerId(reader.readName("id"));
    server.address_ = reader.readAddress("address");
    server.domain_ = DomainId(reader.readName("domain"));
    server.slots_ = reader.readCount("slots", server.slots_, 1, 1024);
    server.connections_ = reader.readCount("connections", server.connections_, 1, 65535);
    server.coldSlots_ = reader.readCount("coldSlots", server.coldSlots_, 1, 1024);
    server.warmupRequests_ = reader.readCount("warmupRequests", server.warmupRequests_, 0, 100000);
    server.tokenChecking_ = reader.readEnum("tokens", TokenCheckingNames, server.tokenChecking_);
    server.state_ = reader.readEnum("state", ServerStateNames, server.state_);
    return server;
}

AccessPolicy readAccessPolicy(ObjectReader &reader)
{
    AccessPolicy policy;
    policy.customer_ = CustomerId(reader.readName("customer"));
    policy.rate_ = reader.readReal("rate", policy.rate_, 0, 1e9);
    policy.concurrency_ = reader.readCount("concurrency", policy.concurrency_, 0, 1000000);
    policy.share_ = reader.readReal("share", policy.share_, 0.001, 1000);
    policy.operations_ = reader.readMethods("operations");
    policy.priority_ = reader.readEnum("priority", PriorityNames, policy.priority_);
    return policy;
}

ServiceConfiguration readService(ObjectReader &reader)
{
    ServiceConfiguration service;
    service.id_ = ServiceId(reader.readName("id"));
    service.kind_ = reader.readEnum("kind", ServiceKindNames, service.kind_);
    service.sliceCount_ = reader.readCount("slices", service.sliceCount_, 1, 65536);
    service.maxExecutionMilliseconds_ = reader.readCount("maxExecutionMilliseconds", service.maxExecutionMilliseconds_, 1, 60000);
    service.queueLength_ = reader.readCount("queueLength", service.queueLength_, 0, 100000);
    service.queueMilliseconds_ = reader.readCount("queueMilliseconds", service.queueMilliseconds_, 0, 60000);
    service.servers_ = reader.readObjects<ServerConfiguration>("servers", readServer);
    service.accessPolicies_ = reader.readObjects<AccessPolicy>("terms", readAccessPolicy);
    if (service.servers_.size() > MaxServersPerService) {
        reader.addProblem("servers", "expected at most 4096 servers");
    }
    return service;
}

OperatorConfiguration readOperator(ObjectReader &reader)
{
    OperatorConfiguration operatorConfiguration;
    operatorConfiguration.name_ = reader.readName("name");
    operatorConfiguration.tokenHash_ = reader.readHash("tokenHash");
    operatorConfiguration.role_ = reader.readEnum("role", OperatorRoleNames, operatorConfiguration.role_);
    return operatorConfiguration;
}

DomainConfiguration readDomain(ObjectReader &reader)
{
    DomainConfiguration domain;
    domain.id_ = DomainId(reader.readName("id"));
    domain.state_ = reader.readEnum("state", DomainStateNames, domain.state_);
    return domain;
}

CustomerConfiguration readCustomer(ObjectReader &reader)
{
    CustomerConfiguration configuration;
    configuration.customer_ = CustomerId(reader.readName("customer"));
    configuration.credentialHash_ = reader.readHash("credentialHash");
    configuration.operators_ = reader.readObjects<OperatorConfiguration>("operators", readOperator);
    configuration.domains_ = reader.readObjects<DomainConfiguration>("domains", readDomain);
    configuration.services_ = reader.readObjects<ServiceConfiguration>("services", readService);
    return configuration;
}

// Checks constraints between members: duplicate names and addresses, dangling references, and limits that contradict each other.
class ReferenceChecker
{
public:
    explicit ReferenceChecker(std::vector<ConfigurationProblem> &problems)
        : problems_(problems)
    {
    }

    void check(const CustomerConfiguration &configuration)
    {
        std::set<std::string> domains;
        for (std::size_t index = 0; index < configuration.domains_.size(); ++index) {
            requireUnique(domains, configuration.domains_[index].id_.value_, "domains[" + std::to_string(index) + "].id");
        }
        std::set<std::string> services;
        for (std::size_t index = 0; index < configuration.services_.size(); ++index) {
            const std::string path = "services[" + std::to_string(index) + "]";
            requireUnique(services, configuration.services_[index].id_.value_, path + ".id");
            checkService(configuration.services_[index], domains, path);
        }
    }

private:
    void checkService(const ServiceConfiguration &service, const std::set<std::string> &domains, const std::string &path)
    {
        std::set<std::string> customers;
        for (std::size_t index = 0; index < service.accessPolicies_.size(); ++index) {
            requireUnique(customers, service.accessPolicies_[index].customer_.value_, path + ".terms[" + std::to_string(index) + "].customer");
        }
        for (std::size_t index = 0; index < service.servers_.size(); ++index) {
            const ServerConfiguration &server = service.servers_[index];
            const std::string serverPath = path + ".servers[" + std::to_string(index) + "]";
            requireUnique(servers_, server.id_.value_, serverPath + ".id");
            requireUnique(addresses_, server.address_, serverPath + ".address");
            if (!domains.contains(server.domain_.value_)) {
                problems_.push_back({serverPath + ".domain", "no such failure domain: " + server.domain_.value_});
            }
            if (server.coldSlots_ > server.slots_) {
                problems_.push_back({serverPath + ".coldSlots", "expected at most the number of slots"});
            }
            if (server.slots_ > server.connections_) {
                problems_.push_back({serverPath + ".slots", "expected at most the number of connections"});
            }
        }
    }

    void requireUnique(std::set<std::string> &seen, const std::string &name, const std::string &path)
    {
        if (!seen.insert(name).second) {
            problems_.push_back({path, "used twice: " + name});
        }
    }

    std::vector<ConfigurationProblem> &problems_;
    std::set<std::string> servers_;
    std::set<std::string> addresses_;
};

Poco::JSON::Object::Ptr formatServer(const ServerConfiguration &server)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("id", server.id_.value_);
    object->set("address", server.address_);
    object->set("domain", server.domain_.value_);
    object->set("slots", server.slots_);
    object->set("connections", server.connections_);
    object->set("coldSlots", server.coldSlots_);
    object->set("warmupRequests", server.warmupRequests_);
    object->set("tokens", nameOf(TokenCheckingNames, server.tokenChecking_));
    object->set("state", nameOf(ServerStateNames, server.state_));
    return object;
}

Poco::JSON::Object::Ptr formatAccessPolicy(const AccessPolicy &policy)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("customer", policy.customer_.value_);
    object->set("rate", policy.rate_);
    object->set("concurrency", policy.concurrency_);
    object->set("share", policy.share_);
    Poco::JSON::Array::Ptr operations = new Poco::JSON::Array;
    for (const std::string &operation : policy.operations_) {
        operations->add(operation);
    }
    object->set("operations", operations);
    object->set("priority", nameOf(PriorityNames, policy.priority_));
    return object;
}

Poco::JSON::Object::Ptr formatOperator(const OperatorConfiguration &operatorConfiguration)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("name", operatorConfiguration.name_);
    object->set("tokenHash", operatorConfiguration.tokenHash_);
    object->set("role", nameOf(OperatorRoleNames, operatorConfiguration.role_));
    return object;
}

Poco::JSON::Object::Ptr formatDomain(const DomainConfiguration &domain)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("id", domain.id_.value_);
    object->set("state", nameOf(DomainStateNames, domain.state_));
    return object;
}

template<typename T, typename Format>
Poco::JSON::Array::Ptr formatArray(const std::vector<T> &values, const Format &format)
{
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const T &value : values) {
        array->add(format(value));
    }
    return array;
}

Poco::JSON::Object::Ptr formatService(const ServiceConfiguration &service)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("id", service.id_.value_);
    object->set("kind", nameOf(ServiceKindNames, service.kind_));
    object->set("slices", service.sliceCount_);
    object->set("maxExecutionMilliseconds", service.maxExecutionMilliseconds_);
    object->set("queueLength", service.queueLength_);
    object->set("queueMilliseconds", service.queueMilliseconds_);
    object->set("servers", formatArray(service.servers_, formatServer));
    object->set("terms", formatArray(service.accessPolicies_, formatAccessPolicy));
    return object;
}

// Whether the brackets nest too deeply for the recursive parser. Brackets inside strings are counted too; valid documents stay below
// the limit nevertheless.
bool exceedsMaxDepth(std::string_view json)
{
    std::size_t depth = 0;
    for (const char character : json) {
        if (character == '{' || character == '[') {
            ++depth;
        }
        if ((character == '}' || character == ']') && depth > 0) {
            --depth;
        }
        if (depth > MaxDepth) {
            return true;
        }
    }
    return false;
}

} // namespace

ConfigurationCheck checkConfiguration(std::string_view json)
{
    ConfigurationCheck check;
    if (json.size() > MaxDocumentBytes || exceedsMaxDepth(json)) {
        check.problems_.push_back({"document", "expected at most 512 KiB and 16 levels"});
        return check;
    }
    try {
        Poco::JSON::Parser parser;
        const Poco::Dynamic::Var root = parser.parse(std::string(json));
        CustomerConfiguration configuration;
        {
            ObjectReader reader(root, {}, check.problems_);
            configuration = readCustomer(reader);
        }
        ReferenceChecker(check.problems_).check(configuration);
        if (check.problems_.empty()) {
            check.configuration_ = std::move(configuration);
        }
    } catch (const Poco::Exception &exception) {
        check.problems_.push_back({"document", "not valid JSON: " + exception.displayText()});
    }
    return check;
}

std::string formatConfiguration(const CustomerConfiguration &configuration)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("customer", configuration.customer_.value_);
    object.set("credentialHash", configuration.credentialHash_);
    object.set("operators", formatArray(configuration.operators_, formatOperator));
    object.set("domains", formatArray(configuration.domains_, formatDomain));
    object.set("services", formatArray(configuration.services_, formatService));
    std::ostringstream stream;
    object.stringify(stream, 2);
    return stream.str();
}

} // namespace Goldcrestwall
