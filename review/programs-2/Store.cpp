// The calls of the platform's key-value store.
#include "Store.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <sstream>
#include <vector>

namespace Review {

using Json = nlohmann::json;

namespace {

constexpr std::size_t PageSize = 500;
constexpr Duration ExpiryInterval = 20ms;
constexpr std::size_t MaxHistory = 20000;

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

Reply reply(int status, const Json &body = Json::object())
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

Duration readLifetime(const std::string &body)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Json::parse(body).at("ttlS_time").get<double>()));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

template<typename Item>
Json describe(const std::string &key, const Item &item)
{
    return {{"key", key}, {"value", encode(item.value_)}, {"revision", item.revision_}, {"created", item.created_}, {"leaseId", item.lease_}};
}

} // namespace

Store::Store()
{
    listener_ = std::make_unique<HttpListener>([this](const Request &request) {
        return handle(request);
    });
    expiry_ = std::thread([this] {
        runExpiry();
    });
}

Store::~Store()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
        changed_.notify_all();
    }
    expiry_.join();
    listener_->stop();
}

std::uint64_t Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    if (isAway_) {
        return 0;
    }
    ++state_.revision_;
    write(key, value, 0);
    return state_.revision_;
}

std::uint64_t Store::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    if (isAway_) {
        return 0;
    }
    ++state_.revision_;
    erase(key);
    return state_.revision_;
}

std::string Store::get(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = state_.items_.find(key);
    return found == state_.items_.end() ? std::string() : found->second.value_;
}

std::uint64_t Store::revision() const
{
    const std::lock_guard lock(mutex_);
    return state_.revision_;
}

void Store::takeCopy()
{
    const std::lock_guard lock(mutex_);
    copy_ = state_;
}

void Store::goAway()
{
    const std::lock_guard lock(mutex_);
    isAway_ = true;
    ++absences_;
    changed_.notify_all();
}

void Store::comeBackFromCopy()
{
    const std::lock_guard lock(mutex_);
    state_ = copy_;
    for (auto &[id, lease] : state_.leases_) {
        lease.endsAt_ = Clock::now() + lease.lifetime_;
    }
    ++era_;
    isAway_ = false;
}

void Store::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    auto &item = state_.items_[key];
    const auto created = item.created_ == 0 ? state_.revision_ : item.created_;
    item = {value, state_.revision_, created, lease};
    state_.history_.push_back({key, item, false});
    if (state_.history_.size() > MaxHistory) {
        state_.history_.pop_front();
    }
    changed_.notify_all();
}

void Store::erase(const std::string &key)
{
    if (state_.items_.erase(key) == 0) {
        return;
    }
    Item item;
    item.revision_ = state_.revision_;
    state_.history_.push_back({key, item, true});
    changed_.notify_all();
}

void Store::expireLeases()
{
    const TimePoint now = Clock::now();
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : state_.leases_) {
        if (lease.endsAt_ <= now) {
            ended.push_back(id);
        }
    }
    for (const auto id : ended) {
        state_.leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : state_.items_) {
            if (item.lease_ == id) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            ++state_.revision_;
            erase(key);
        }
    }
}

void Store::runExpiry()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        if (!isAway_) {
            expireLeases();
        }
        changed_.wait_for(lock, ExpiryInterval);
    }
}

Reply Store::handle(const Request &request)
{
    std::uint64_t absences = 0;
    {
        const std::lock_guard lock(mutex_);
        if (isAway_) {
            return {0};
        }
        absences = absences_;
    }
    Reply result = answer(request);
    const std::lock_guard lock(mutex_);
    if (absences != absences_) {
        return {0};
    }
    result.headers_["Store-Era"] = std::to_string(era_);
    return result;
}

Reply Store::answer(const Request &request)
{
    const Poco::URI uri(request.target_);
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        query[name] = value;
    }
    const std::string &path = uri.getPath();
    const auto idAfter = [&path](const std::string &prefix) -> std::uint64_t {
        return path.starts_with(prefix) ? std::stoull(path.substr(prefix.size())) : 0;
    };
    if (request.method_ == "GET" && path == "/-/kv-key") {
        return readKey(query["key"]);
    }
    if (request.method_ == "GET" && path == "/-/kv-range") {
        return readRange(query["prefix"], query["after"]);
    }
    if (request.method_ == "GET" && path == "/-/kv-watch") {
        return watch(query["prefix"], std::stoull(query["after"]), Duration(std::stoll(query["waitMs"])));
    }
    if (request.method_ == "POST" && path == "/-/kv-txn") {
        return transact(request.body_);
    }
    if (request.method_ == "POST" && path == "/-/kv-lease") {
        return grantLease(request.body_);
    }
    if (const auto id = idAfter("/-/kv-keep/"); request.method_ == "POST" && id != 0) {
        return renewLease(id);
    }
    if (const auto id = idAfter("/-/kv-lease-end/"); request.method_ == "DELETE" && id != 0) {
        return endLease(id);
    }
    return reply(404);
}

Reply Store::readKey(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = state_.items_.find(key);
    if (found == state_.items_.end()) {
        return reply(404);
    }
    auto document = describe(key, found->second);
    document["at"] = state_.revision_;
    return reply(200, document);
}

Reply Store::readRange(const std::string &prefix, const std::string &after) const
{
    const std::lock_guard lock(mutex_);
    Json document{{"items", Json::array()}, {"hasMore", false}, {"at", state_.revision_}};
    for (auto item = state_.items_.upper_bound(after); item != state_.items_.end(); ++item) {
        if (!item->first.starts_with(prefix)) {
            continue;
        }
        if (document["items"].size() == PageSize) {
            document["hasMore"] = true;
            break;
        }
        document["items"].push_back(describe(item->first, item->second));
    }
    return reply(200, document);
}

Reply Store::watch(const std::string &prefix, std::uint64_t after, Duration wait)
{
    std::unique_lock lock(mutex_);
    const TimePoint until = Clock::now() + wait;
    const auto absences = absences_;
    if (after > state_.revision_) {
        return reply(410);
    }
    for (;;) {
        Json document{{"events", Json::array()}, {"at", state_.revision_}};
        for (const auto &change : state_.history_) {
            if (change.item_.revision_ <= after || !change.key_.starts_with(prefix)) {
                continue;
            }
            document["events"].push_back(change.isRemoved_ ? Json{{"key", change.key_}, {"revision", change.item_.revision_}, {"removed", true}}
                                                           : describe(change.key_, change.item_));
        }
        const bool isOver = Clock::now() >= until;
        if (!document["events"].empty() || isOver) {
            return reply(200, document);
        }
        changed_.wait_until(lock, until);
        if (isStopping_ || absences != absences_) {
            return {0};
        }
    }
}

Reply Store::transact(const std::string &body)
{
    const auto request = Json::parse(body);
    const std::lock_guard lock(mutex_);
    bool isMet = true;
    Json current{{"items", Json::array()}};
    for (const auto &condition : request.at("expect")) {
        const auto key = condition.at("key").get<std::string>();
        const auto found = state_.items_.find(key);
        const std::uint64_t revision = found == state_.items_.end() ? 0 : found->second.revision_;
        isMet = isMet && revision == condition.at("revision").get<std::uint64_t>();
        if (found != state_.items_.end()) {
            current["items"].push_back(describe(key, found->second));
        }
    }
    if (!isMet) {
        return reply(412, current);
    }
    for (const auto &entry : request.at("writes")) {
        const auto lease = entry.value("leaseId", std::uint64_t(0));
        const auto key = entry.at("key").get<std::string>();
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return reply(403);
        }
        if (lease != 0 && !state_.leases_.contains(lease)) {
            return reply(404);
        }
    }
    ++state_.revision_;
    for (const auto &entry : request.at("writes")) {
        write(entry.at("key").get<std::string>(), decode(entry.at("value").get<std::string>()), entry.value("leaseId", std::uint64_t(0)));
    }
    for (const auto &key : request.at("deletes")) {
        erase(key.get<std::string>());
    }
    return reply(200, {{"revision", state_.revision_}});
}

Reply Store::grantLease(const std::string &body)
{
    const Duration lifetime = readLifetime(body);
    const std::lock_guard lock(mutex_);
    const auto id = ++lastLease_;
    state_.leases_[id] = {Clock::now() + lifetime, lifetime};
    return reply(200, {{"leaseId", id}, {"ttlS_time", toSeconds(lifetime)}});
}

Reply Store::renewLease(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    const auto found = state_.leases_.find(id);
    if (found == state_.leases_.end()) {
        return reply(404);
    }
    found->second.endsAt_ = Clock::now() + found->second.lifetime_;
    return reply(200, {{"ttlS_time", toSeconds(found->second.lifetime_)}});
}

Reply Store::endLease(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    if (const auto found = state_.leases_.find(id); found != state_.leases_.end()) {
        found->second.endsAt_ = TimePoint();
        expireLeases();
    }
    return reply(200);
}

} // namespace Review
