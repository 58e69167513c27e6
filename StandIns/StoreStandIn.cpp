// Implements the stand-in for the platform's key-value service.
#include "StoreStandIn.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <sstream>
#include <thread>

namespace Goldcrestwall {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string toBase64(const std::string &bytes)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return stream.str();
}

std::string fromBase64(const std::string &text)
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

struct FaultRequest
{
    StoreFault fault_ = StoreFault::None;
    Duration delay_{};
};

FaultRequest parseFault(const Poco::URI &uri)
{
    FaultRequest result;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        if (name == "mode") {
            result.fault_ = value == "down" ? StoreFault::Down
                : value == "slow"           ? StoreFault::Slow
                : value == "lose-answers"   ? StoreFault::LosesAnswers
                                            : StoreFault::None;
        }
        if (name == "ms") {
            result.delay_ = std::chrono::milliseconds(std::stol(value));
        }
    }
    return result;
}

} // namespace

StoreStandIn::StoreStandIn(std::uint16_t port)
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    server_ = std::make_unique<Poco::Net::HTTPServer>(new RequestHandlers<StoreStandIn>(*this, runningRequests_), socket, new Poco::Net::HTTPServerParams);
    server_->start();
}

StoreStandIn::~StoreStandIn()
{
    server_->stopAll(true);
    runningRequests_->closeAndWait();
}

void StoreStandIn::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const Poco::URI uri(request.getURI());
    if (uri.getPath() == "/standin/fault") {
        const auto fault = parseFault(uri);
        setFault(fault.fault_, fault.delay_);
        response.sendBuffer("", 0);
        return;
    }
    const auto answer = execute(uri.getPath(), body);
    if (!answer) {
        static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket().close();
        return;
    }
    response.setStatus(answer->empty() ? Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE : Poco::Net::HTTPResponse::HTTP_OK);
    response.sendBuffer(answer->data(), answer->size());
}

std::string StoreStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

void StoreStandIn::setFault(StoreFault fault, Duration delay)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    delay_ = delay;
}

void StoreStandIn::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    Entry &entry = entries_[key];
    entry.value_ = value;
    ++entry.version_;
}

void StoreStandIn::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    entries_.erase(key);
}

std::string StoreStandIn::get(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(key);
    return entry == entries_.end() ? std::string() : entry->second.value_;
}

Version StoreStandIn::versionOf(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(key);
    return entry == entries_.end() ? 0 : entry->second.version_;
}

std::optional<std::string> StoreStandIn::execute(const std::string &path, const std::string &body)
{
    ++calls_;
    StoreFault fault = StoreFault::None;
    Duration delay{};
    {
        const std::lock_guard lock(mutex_);
        fault = fault_;
        delay = delay_;
    }
    if (fault == StoreFault::Down) {
        return std::string();
    }
    if (fault == StoreFault::Slow) {
        std::this_thread::sleep_for(delay);
    }
    Object::Ptr answer;
    try {
        Poco::JSON::Parser parser;
        const Object::Ptr request = parser.parse(body).extract<Object::Ptr>();
        const std::lock_guard lock(mutex_);
        expireLeases();
        if (path == "/v3/kv/range") {
            answer = range(*request);
        } else if (path == "/v3/kv/txn") {
            answer = transact(*request);
        } else if (path == "/v3/kv/put") {
            answer = write(*request);
        } else if (path == "/v3/lease/grant") {
            answer = grantLease(*request);
        } else if (path == "/v3/lease/keepalive") {
            answer = keepAlive(*request);
        }
    } catch (const std::exception &) {
        return std::string();
    }
    if (fault == StoreFault::LosesAnswers) {
        return std::nullopt;
    }
    std::ostringstream text;
    if (answer) {
        answer->stringify(text);
    }
    return text.str();
}

Object::Ptr StoreStandIn::range(const Object &request)
{
    const std::string first = fromBase64(request.getValue<std::string>("key"));
    const std::string last = fromBase64(request.optValue<std::string>("range_end", {}));
    const bool areKeysOnly = request.optValue<bool>("keys_only", false);
    Array::Ptr values = new Array;
    for (auto entry = entries_.lower_bound(first); entry != entries_.end(); ++entry) {
        const bool isInRange = last.empty() ? entry->first == first : entry->first < last;
        if (!isInRange) {
            break;
        }
        Object::Ptr value = new Object;
        value->set("key", toBase64(entry->first));
        value->set("version", std::to_string(entry->second.version_));
        if (!areKeysOnly) {
            value->set("value", toBase64(entry->second.value_));
        }
        values->add(value);
    }
    Object::Ptr answer = new Object;
    answer->set("kvs", values);
    answer->set("count", std::to_string(values->size()));
    return answer;
}

Object::Ptr StoreStandIn::transact(const Object &request)
{
    bool isEqual = true;
    const Array::Ptr comparisons = request.getArray("compare");
    for (unsigned index = 0; index < comparisons->size(); ++index) {
        const Object::Ptr comparison = comparisons->getObject(index);
        const auto entry = entries_.find(fromBase64(comparison->getValue<std::string>("key")));
        const Version version = entry == entries_.end() ? 0 : entry->second.version_;
        isEqual = isEqual && version == std::stoull(comparison->getValue<std::string>("version"));
    }
    Array::Ptr responses = new Array;
    const Array::Ptr operations = request.getArray(isEqual ? "success" : "failure");
    for (unsigned index = 0; operations && index < operations->size(); ++index) {
        const Object::Ptr operation = operations->getObject(index);
        Object::Ptr response = new Object;
        if (operation->has("requestPut")) {
            response->set("response_put", write(*operation->getObject("requestPut")));
        } else {
            response->set("response_range", range(*operation->getObject("requestRange")));
        }
        responses->add(response);
    }
    Object::Ptr answer = new Object;
    answer->set("succeeded", isEqual);
    answer->set("responses", responses);
    return answer;
}

Object::Ptr StoreStandIn::write(const Object &request)
{
    Entry &entry = entries_[fromBase64(request.getValue<std::string>("key"))];
    entry.value_ = fromBase64(request.getValue<std::string>("value"));
    entry.lease_ = std::stoll(request.optValue<std::string>("lease", "0"));
    ++entry.version_;
    return new Object;
}

Object::Ptr StoreStandIn::grantLease(const Object &request)
{
    const Duration term = std::chrono::seconds(std::stol(request.getValue<std::string>("TTL")));
    leases_[++lastLease_] = {monotonicNow() + term, term};
    Object::Ptr answer = new Object;
    answer->set("ID", std::to_string(lastLease_));
    return answer;
}

Object::Ptr StoreStandIn::keepAlive(const Object &request)
{
    const auto lease = leases_.find(std::stoll(request.getValue<std::string>("ID")));
    Object::Ptr result = new Object;
    if (lease != leases_.end()) {
        lease->second.first = monotonicNow() + lease->second.second;
        result->set("TTL", std::to_string(std::chrono::duration_cast<std::chrono::seconds>(lease->second.second).count()));
    }
    Object::Ptr answer = new Object;
    answer->set("result", result);
    return answer;
}

void StoreStandIn::expireLeases()
{
    const TimePoint now = monotonicNow();
    std::erase_if(leases_, [&](const auto &lease) {
        return lease.second.first <= now;
    });
    std::erase_if(entries_, [&](const auto &entry) {
        return entry.second.lease_ != 0 && !leases_.contains(entry.second.lease_);
    });
}

} // namespace Goldcrestwall
