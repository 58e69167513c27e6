// Implements the calls to the key-value service; keys and values are Base64 in JSON.
#include <LibPlatform/StoreClient.h>

#include <LibHttp/LibHttp.h>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace Goldcrestwall {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// A list of all records has their keys only.
constexpr std::uint64_t MaxResponseBytes = 64U << 20U;

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

std::string serializeJson(const Object::Ptr &object)
{
    std::ostringstream stream;
    object->stringify(stream);
    return stream.str();
}

// The exclusive end of the range of all keys with a prefix: the prefix with its last byte incremented.
std::string rangeEnd(std::string prefix)
{
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

Object::Ptr makeRange(const std::string &key)
{
    Object::Ptr range = new Object;
    range->set("key", toBase64(key));
    return range;
}

Object::Ptr makeSwap(const std::string &key, const SwapRecord &call)
{
    Object::Ptr comparison = new Object;
    comparison->set("key", toBase64(key));
    comparison->set("target", "VERSION");
    comparison->set("result", "EQUAL");
    comparison->set("version", std::to_string(call.expected_));
    Object::Ptr put = new Object;
    put->set("key", toBase64(key));
    put->set("value", toBase64(call.value_));
    Object::Ptr success = new Object;
    success->set("requestPut", put);
    Object::Ptr failure = new Object;
    failure->set("requestRange", makeRange(key));
    Object::Ptr transaction = new Object;
    const auto addList = [&](const char *name, const Object::Ptr &item) {
        Array::Ptr list = new Array;
        list->add(item);
        transaction->set(name, list);
    };
    addList("compare", comparison);
    addList("success", success);
    addList("failure", failure);
    return transaction;
}

// A key with its version and value, as returned by the service.
struct StoredValue
{
    std::string key_;
    Version version_ = 0;
    std::string value_;
};

std::vector<StoredValue> parseValues(const Poco::JSON::Object *range)
{
    std::vector<StoredValue> values;
    Array::Ptr list = range ? range->getArray("kvs") : nullptr;
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        Object::Ptr item = list->getObject(static_cast<unsigned>(index));
        StoredValue value;
        value.key_ = fromBase64(item->getValue<std::string>("key"));
        value.version_ = std::stoull(item->getValue<std::string>("version"));
        value.value_ = fromBase64(item->optValue<std::string>("value", {}));
        values.push_back(std::move(value));
    }
    return values;
}

// Throws a Poco or standard exception if the text is not a JSON object.
Object::Ptr parseObject(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
}

} // namespace

StoreClient::StoreClient(StoreSettings settings)
    : settings_(std::move(settings))
{
}

StoreResponse StoreClient::read(const ReadRecord &call)
{
    ++reads_;
    StoreResponse answer{call.call_, StoreStatus::Unavailable, {call.key_, 0, {}}, {}};
    const Exchange exchange = post("/v3/kv/range", serializeJson(makeRange(settings_.prefix_ + call.key_)));
    if (!exchange.body_) {
        return answer;
    }
    try {
        const std::vector<StoredValue> values = parseValues(parseObject(*exchange.body_).get());
        if (!values.empty()) {
            answer.record_.version_ = values.front().version_;
            answer.record_.value_ = values.front().value_;
        }
        answer.status_ = StoreStatus::Done;
    } catch (const std::exception &) {
        ++failures_;
    }
    return answer;
}

StoreResponse StoreClient::list(const ListRecords &call)
{
    ++reads_;
    StoreResponse answer{call.call_, StoreStatus::Unavailable, {}, {}};
    Object::Ptr range = makeRange(settings_.prefix_);
    range->set("range_end", toBase64(rangeEnd(settings_.prefix_)));
    range->set("keys_only", true);
    const Exchange exchange = post("/v3/kv/range", serializeJson(range));
    if (!exchange.body_) {
        return answer;
    }
    try {
        for (const StoredValue &value : parseValues(parseObject(*exchange.body_).get())) {
            answer.versions_.push_back({value.key_.substr(settings_.prefix_.size()), value.version_});
        }
        answer.status_ = StoreStatus::Done;
    } catch (const std::exception &) {
        ++failures_;
    }
    return answer;
}

StoreResponse StoreClient::swap(const SwapRecord &call)
{
    ++writes_;
    StoreResponse answer{call.call_, StoreStatus::Unavailable, {call.key_, 0, {}}, {}};
    const std::string key = settings_.prefix_ + call.key_;
    const Exchange exchange = post("/v3/kv/txn", serializeJson(makeSwap(key, call)));
    if (!exchange.body_) {
        answer.status_ = exchange.isSent_ ? StoreStatus::Unknown : StoreStatus::Unavailable;
        return answer;
    }
    try {
        Object::Ptr result = parseObject(*exchange.body_);
        if (result->optValue<bool>("succeeded", false)) {
            answer.status_ = StoreStatus::Done;
            return answer;
        }
        Array::Ptr responses = result->getArray("responses");
        Object::Ptr response = responses && responses->size() > 0 ? responses->getObject(0) : nullptr;
        const std::vector<StoredValue> values = parseValues(response ? response->getObject("response_range").get() : nullptr);
        if (!values.empty()) {
            answer.record_.version_ = values.front().version_;
            answer.record_.value_ = values.front().value_;
        }
        answer.status_ = StoreStatus::Conflict;
    } catch (const std::exception &) {
        // The service has processed the call, but its response cannot be parsed.
        answer.status_ = StoreStatus::Unknown;
        ++failures_;
    }
    return answer;
}

Result<PlatformList> StoreClient::readInstances(TimePoint now)
{
    ++reads_;
    Object::Ptr range = makeRange(settings_.instancePrefix_);
    range->set("range_end", toBase64(rangeEnd(settings_.instancePrefix_)));
    const Exchange exchange = post("/v3/kv/range", serializeJson(range));
    if (!exchange.body_) {
        return RouterError::StoreUnavailable;
    }
    try {
        PlatformList list;
        list.receivedAt_ = now;
        for (const StoredValue &value : parseValues(parseObject(*exchange.body_).get())) {
            Object::Ptr instance = parseObject(value.value_);
            const InstanceId id(value.key_.substr(settings_.instancePrefix_.size()));
            list.instances_[id] = {instance->getValue<UnixMilliseconds>("startedAt"), instance->optValue<std::string>("state", "live") == "leaving"};
        }
        return list;
    } catch (const std::exception &) {
        ++failures_;
        return RouterError::MalformedMessage;
    }
}

StoreClient::Exchange StoreClient::post(const std::string &path, const std::string &body)
{
    Exchange exchange;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(settings_.address_)};
        session.setTimeout(Poco::Timespan(settings_.timeout_.count()));
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        std::ostream &output = session.sendRequest(request);
        exchange.isSent_ = true;
        output << body << std::flush;
        Gateway::SessionReader reader(session, Gateway::ExpectedBody::Any, MaxResponseBytes);
        reader.readHead();
        reader.readBody();
        if (reader.response().result() == Gateway::http::status::ok) {
            exchange.body_ = reader.response().body();
            return exchange;
        }
    } catch (const Poco::Exception &) {
        // Counted as a failure below. The caller only needs to know whether the request may have arrived.
    }
    ++failures_;
    return exchange;
}

StoreCounters StoreClient::counters() const
{
    return {reads_, writes_, failures_};
}

} // namespace Goldcrestwall
