// Implements the stand-in for the platform's key-value store.
#include "PlatformStoreStandIn.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <sstream>

namespace Goldcrestwall {

using Json = nlohmann::json;

namespace {

constexpr std::size_t PageSize = 500;
constexpr int MaxThreads = 2000;

std::string encode(const std::string &bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string decode(const std::string &text)
{
    std::istringstream input(text);
    Poco::Base64Decoder decoder(input);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

// The head of a response, up to its empty line, that violates the protocol as the fault says; nothing with another fault.
std::optional<std::string> makeOddHead(PlatformStoreFault fault, std::size_t bodySize)
{
    const std::string length = "Content-Length: " + std::to_string(bodySize) + "\r\n";
    switch (fault) {
    case PlatformStoreFault::SendsInvalidStatus:
        return "HTTP/1.1 000 Odd\r\n" + length;
    case PlatformStoreFault::SwitchesProtocols:
        return "HTTP/1.1 101 Odd\r\n" + length;
    case PlatformStoreFault::SendsOddFieldName:
        return "HTTP/1.1 200 OK\r\nOdd Name: x\r\n" + length;
    case PlatformStoreFault::SendsUnknownCoding:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n";
    case PlatformStoreFault::HidesLength:
        return "HTTP/1.1 200 OK\r\nA: b\r\n " + length;
    default:
        return std::nullopt;
    }
}

} // namespace

PlatformStoreStandIn::PlatformStoreStandIn(std::uint16_t port)
{
    auto *parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(MaxThreads);
    parameters->setMaxQueued(MaxThreads);
    static Poco::ThreadPool threads(4, MaxThreads);
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    server_ = std::make_unique<Poco::Net::HTTPServer>(new RequestHandlers<PlatformStoreStandIn>(*this, runningRequests_), threads, socket, parameters);
    server_->start();
    expiryThread_ = std::make_unique<std::thread>([this] {
        runExpiryLoop();
    });
}

PlatformStoreStandIn::~PlatformStoreStandIn()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
        changed_.notify_all();
    }
    expiryThread_->join();
    server_->stopAll(true);
    runningRequests_->closeAndWait();
}

std::string PlatformStoreStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

void PlatformStoreStandIn::setFault(PlatformStoreFault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    ++watchAborts_;
    changed_.notify_all();
}

void PlatformStoreStandIn::suppressWatchEvents()
{
    const std::lock_guard lock(mutex_);
    areWatchEventsSuppressed_ = true;
}

void PlatformStoreStandIn::abortWatches()
{
    const std::lock_guard lock(mutex_);
    ++watchAborts_;
    changed_.notify_all();
}

void PlatformStoreStandIn::discardHistory()
{
    const std::lock_guard lock(mutex_);
    content_.discardedUntil_ = content_.revision_;
    ++discards_;
    content_.history_.clear();
    areWatchEventsSuppressed_ = false;
}

void PlatformStoreStandIn::expireAllLeases()
{
    const std::lock_guard lock(mutex_);
    for (auto &[id, lease] : content_.leases_) {
        lease.endsAt_ = TimePoint();
    }
    expireLeases();
}

void PlatformStoreStandIn::setEra(std::uint64_t era)
{
    const std::lock_guard lock(mutex_);
    era_ = era;
}

std::uint64_t PlatformStoreStandIn::era() const
{
    const std::lock_guard lock(mutex_);
    return era_;
}

void PlatformStoreStandIn::takeCopy()
{
    const std::lock_guard lock(mutex_);
    copy_ = content_;
}

void PlatformStoreStandIn::restoreCopy(RestoredLeases leases)
{
    const std::lock_guard lock(mutex_);
    content_ = copy_;
    ++era_;
    const TimePoint now = monotonicNow();
    for (auto &[id, lease] : content_.leases_) {
        lease.endsAt_ = leases == RestoredLeases::Renewed ? now + lease.lifetime_ : TimePoint();
    }
    expireLeases();
    ++watchAborts_;
    changed_.notify_all();
}

std::uint64_t PlatformStoreStandIn::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++content_.revision_;
    write(key, value, 0);
    return content_.revision_;
}

void PlatformStoreStandIn::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++content_.revision_;
    erase(key);
}

std::string PlatformStoreStandIn::get(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = content_.items_.find(key);
    return found == content_.items_.end() ? std::string() : found->second.value_;
}

std::uint64_t PlatformStoreStandIn::revision() const
{
    const std::lock_guard lock(mutex_);
    return content_.revision_;
}

void PlatformStoreStandIn::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    auto &item = content_.items_[key];
    item.value_ = value;
    item.revision_ = content_.revision_;
    item.created_ = item.created_ == 0 ? content_.revision_ : item.created_;
    item.lease_ = lease;
    content_.history_.push_back({key, item, false, areWatchEventsSuppressed_});
    changed_.notify_all();
}

void PlatformStoreStandIn::erase(const std::string &key)
{
    if (content_.items_.erase(key) == 0) {
        return;
    }
    Item item;
    item.revision_ = content_.revision_;
    content_.history_.push_back({key, item, true, areWatchEventsSuppressed_});
    changed_.notify_all();
}

void PlatformStoreStandIn::expireLeases()
{
    const TimePoint now = monotonicNow();
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : content_.leases_) {
        if (lease.endsAt_ <= now) {
            ended.push_back(id);
        }
    }
    for (const auto id : ended) {
        content_.leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : content_.items_) {
            if (item.lease_ == id) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            ++content_.revision_;
            erase(key);
        }
    }
}

void PlatformStoreStandIn::runExpiryLoop()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        expireLeases();
        changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
}

void PlatformStoreStandIn::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    ++calls_;
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const auto closeConnection = [&request] {
        static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
    };
    PlatformStoreFault fault = PlatformStoreFault::None;
    std::uint64_t eraBefore = 0;
    {
        const std::lock_guard lock(mutex_);
        fault = fault_;
        eraBefore = era_;
    }
    if (fault == PlatformStoreFault::Down) {
        closeConnection();
        return;
    }
    const bool isRead = request.getMethod() == "GET";
    if (fault == PlatformStoreFault::Unresponsive || (fault == PlatformStoreFault::IgnoresReads && isRead)) {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(5), [this, fault] {
            return isStopping_ || fault_ != fault;
        });
        closeConnection();
        return;
    }
    Reply reply;
    if (fault == PlatformStoreFault::Busy || fault == PlatformStoreFault::Limited) {
        reply.status_ = fault == PlatformStoreFault::Busy ? 503 : 429;
    } else {
        const Poco::URI uri(request.getURI());
        std::map<std::string, std::string> query;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            query[name] = value;
        }
        reply = answer(request.getMethod(), uri.getPath(), query, body);
    }
    const bool isLost =
        fault == PlatformStoreFault::LosesAnswers || (fault == PlatformStoreFault::LosesWriteAnswers && request.getURI().starts_with("/-/kv-txn"));
    // A response from just before the store came back from its copy is lost with it.
    const bool isFromEarlierEra = era() != eraBefore;
    if (isLost || isFromEarlierEra || reply.status_ == 0) {
        closeConnection();
        return;
    }
    if (fault == PlatformStoreFault::Fails) {
        reply.status_ = 500;
    }
    if (fault == PlatformStoreFault::SendsMalformedBytes) {
        reply.body_ = "{\"items\": [";
    }
    if (fault == PlatformStoreFault::AddsUnreadableItem) {
        auto document = Json::parse(reply.body_, nullptr, false);
        for (const char *list : {"items", "events"}) {
            if (document.is_object() && document.contains(list)) {
                document[list].insert(document[list].begin(), Json{{"key", 7}, {"value", "!"}});
            }
        }
        reply.body_ = document.dump();
    }
    if (const auto head = makeOddHead(fault, reply.body_.size())) {
        const std::string bytes = *head + "\r\n" + reply.body_;
        // Bypasses the response object, so that the connection stays open.
        static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return;
    }
    if (eraBefore != 0) {
        response.set("Store-Era", std::to_string(eraBefore));
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status_));
    response.setContentType("application/json");
    response.sendBuffer(reply.body_.data(), reply.body_.size());
}

PlatformStoreStandIn::Reply
PlatformStoreStandIn::answer(const std::string &method, const std::string &path, const std::map<std::string, std::string> &query, const std::string &body)
{
    const auto text = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto idAfter = [&path](std::string_view prefix) {
        return path.starts_with(prefix) ? std::stoull(path.substr(prefix.size())) : 0;
    };
    if (method == "GET" && path == "/-/kv-key") {
        return readKey(text("key"));
    }
    if (method == "GET" && path == "/-/kv-range") {
        return readRange(text("prefix"), text("after"));
    }
    if (method == "GET" && path == "/-/kv-watch") {
        return watch(text("prefix"), std::stoull(text("after")), std::chrono::milliseconds(std::stoll(text("waitMs"))));
    }
    if (method == "POST" && path == "/-/kv-txn") {
        return transact(body);
    }
    if (method == "POST" && path == "/-/kv-lease") {
        return grantLease(body);
    }
    if (const auto id = idAfter("/-/kv-keep/"); method == "POST" && id != 0) {
        return renewLease(id);
    }
    if (const auto id = idAfter("/-/kv-lease-end/"); method == "DELETE" && id != 0) {
        return revokeLease(id);
    }
    return {404, "{}"};
}

namespace {

Json formatItem(const std::string &key, const std::string &value, std::uint64_t revision, std::uint64_t created, std::uint64_t lease)
{
    return {{"key", key}, {"value", encode(value)}, {"revision", revision}, {"created", created}, {"leaseId", lease}};
}

} // namespace

PlatformStoreStandIn::Reply PlatformStoreStandIn::readKey(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto found = content_.items_.find(key);
    if (found == content_.items_.end()) {
        return {404, "{}"};
    }
    auto document = formatItem(key, found->second.value_, found->second.revision_, found->second.created_, found->second.lease_);
    document["at"] = content_.revision_;
    return {200, document.dump()};
}

PlatformStoreStandIn::Reply PlatformStoreStandIn::readRange(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(mutex_);
    Json document{{"items", Json::array()}, {"hasMore", false}, {"at", content_.revision_}};
    for (auto item = content_.items_.upper_bound(after); item != content_.items_.end(); ++item) {
        if (!item->first.starts_with(prefix)) {
            continue;
        }
        if (document["items"].size() == PageSize) {
            document["hasMore"] = true;
            break;
        }
        document["items"].push_back(formatItem(item->first, item->second.value_, item->second.revision_, item->second.created_, item->second.lease_));
    }
    return {200, document.dump()};
}

std::uint64_t PlatformStoreStandIn::waitingWatches() const
{
    const std::lock_guard lock(mutex_);
    return waitingWatches_;
}

PlatformStoreStandIn::Reply PlatformStoreStandIn::watch(const std::string &prefix, std::uint64_t after, Duration wait)
{
    std::unique_lock lock(mutex_);
    const auto until = std::chrono::steady_clock::now() + std::chrono::microseconds(wait);
    const auto abortsBefore = watchAborts_;
    const auto discardsBefore = discards_;
    for (;;) {
        // A watch that was opened before the history was discarded is told only with the next change.
        const bool isOpenedLater = discards_ == discardsBefore;
        if (fault_ == PlatformStoreFault::DiscardsHistory) {
            return {410, "{}"};
        }
        if (after > content_.revision_ || (after < content_.discardedUntil_ && (isOpenedLater || !content_.history_.empty()))) {
            return {410, "{}"};
        }
        Json document{{"events", Json::array()}, {"at", content_.revision_}};
        for (const auto &change : content_.history_) {
            if (change.item_.revision_ <= after || change.isHidden_ || !change.key_.starts_with(prefix)) {
                continue;
            }
            if (change.isRemoved_) {
                document["events"].push_back({{"key", change.key_}, {"revision", change.item_.revision_}, {"removed", true}});
            } else {
                document["events"].push_back(formatItem(change.key_, change.item_.value_, change.item_.revision_, change.item_.created_, change.item_.lease_));
            }
        }
        if (!document["events"].empty()) {
            return {200, document.dump()};
        }
        if (isStopping_) {
            return {0, {}};
        }
        ++waitingWatches_;
        const auto waited = changed_.wait_until(lock, until);
        --waitingWatches_;
        if (waited == std::cv_status::timeout) {
            document["at"] = areWatchEventsSuppressed_ ? after : content_.revision_;
            return {200, document.dump()};
        }
        if (watchAborts_ != abortsBefore || isStopping_) {
            return {0, {}};
        }
    }
}

PlatformStoreStandIn::Reply PlatformStoreStandIn::transact(const std::string &body)
{
    const auto request = Json::parse(body);
    const std::lock_guard lock(mutex_);
    bool isMet = true;
    Json current{{"items", Json::array()}};
    for (const auto &condition : request.at("expect")) {
        const auto key = condition.at("key").get<std::string>();
        const auto found = content_.items_.find(key);
        const std::uint64_t revision = found == content_.items_.end() ? 0 : found->second.revision_;
        isMet = isMet && revision == condition.at("revision").get<std::uint64_t>();
        if (found != content_.items_.end()) {
            current["items"].push_back(formatItem(key, found->second.value_, revision, found->second.created_, found->second.lease_));
        }
    }
    if (!isMet) {
        return {412, current.dump()};
    }
    for (const auto &entry : request.at("writes")) {
        const auto lease = entry.value("leaseId", std::uint64_t(0));
        if (lease != 0 && !content_.leases_.contains(lease)) {
            return {404, "{}"};
        }
        const auto key = entry.at("key").get<std::string>();
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {403, "{}"};
        }
    }
    ++content_.revision_;
    for (const auto &entry : request.at("writes")) {
        write(entry.at("key").get<std::string>(), decode(entry.at("value").get<std::string>()), entry.value("leaseId", std::uint64_t(0)));
    }
    for (const auto &key : request.at("deletes")) {
        erase(key.get<std::string>());
    }
    return {200, Json{{"revision", content_.revision_}}.dump()};
}

PlatformStoreStandIn::Reply PlatformStoreStandIn::grantLease(const std::string &body)
{
    const auto lifetime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Json::parse(body).at("ttlS_time").get<double>()));
    const std::lock_guard lock(mutex_);
    const auto id = ++content_.lastLease_;
    content_.leases_[id] = {monotonicNow() + lifetime, lifetime};
    return {200, Json{{"leaseId", id}, {"ttlS_time", std::chrono::duration<double>(lifetime).count()}}.dump()};
}

PlatformStoreStandIn::Reply PlatformStoreStandIn::renewLease(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    const auto found = content_.leases_.find(id);
    if (found == content_.leases_.end()) {
        return {404, "{}"};
    }
    found->second.endsAt_ = monotonicNow() + found->second.lifetime_;
    return {200, Json{{"ttlS_time", std::chrono::duration<double>(found->second.lifetime_).count()}}.dump()};
}

PlatformStoreStandIn::Reply PlatformStoreStandIn::revokeLease(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    const auto found = content_.leases_.find(id);
    if (found != content_.leases_.end()) {
        found->second.endsAt_ = TimePoint();
        expireLeases();
    }
    return {200, "{}"};
}

} // namespace Goldcrestwall
