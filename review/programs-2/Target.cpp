// The calls that a target answers.
#include "Target.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Review {

using Json = nlohmann::json;

namespace {

constexpr Duration HeartbeatInterval = 870ms;
constexpr int QueueLength = 8;
constexpr const char *RequestIdHeader = "Goldcrestwall-Request-Id";

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

void RunList::add(Run run)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
}

std::vector<Run> RunList::all() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<Run> RunList::of(const std::string &requestId) const
{
    std::vector<Run> found;
    const std::lock_guard lock(mutex_);
    std::ranges::copy_if(runs_, std::back_inserter(found), [&requestId](const Run &run) {
        return run.requestId_ == requestId;
    });
    return found;
}

Target::Target(TargetDescription description, Store &store, RunList &runs, Record &record)
    : description_(std::move(description))
    , store_(store)
    , runs_(runs)
    , record_(record)
    , born_(unixMilliseconds())
    , seenTokens_(KeyCount, 0)
{
    listener_ = std::make_unique<HttpListener>([this](const Request &request) {
        return handle(request);
    });
    heartbeat_ = std::thread([this] {
        runHeartbeat();
    });
    record_.write("target " + description_.id_ + " of " + description_.service_ + " starts");
}

Target::~Target()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
        changed_.notify_all();
    }
    heartbeat_.join();
    listener_->stop();
}

void Target::beat()
{
    Json entry;
    {
        const std::lock_guard lock(mutex_);
        if (hasLeft_) {
            return;
        }
        entry = {{"service", description_.service_},
                 {"address", listener_->address()},
                 {"zone", description_.zone_},
                 {"version", "v1"},
                 {"capacity", description_.slots_},
                 {"state", isDraining_ ? "draining" : "ready"},
                 {"warmupLeftS", 0},
                 {"sequence", ++sequence_},
                 {"born", born_}};
        store_.put("servers/" + description_.id_, entry.dump());
    }
}

void Target::drain()
{
    {
        const std::lock_guard lock(mutex_);
        isDraining_ = true;
    }
    beat();
    record_.write("the store acknowledges that target " + description_.id_ + " is draining");
}

void Target::leave()
{
    const std::lock_guard lock(mutex_);
    hasLeft_ = true;
    store_.remove("servers/" + description_.id_);
    record_.write("target " + description_.id_ + " leaves: its entry is removed, and it goes on serving");
}

void Target::runHeartbeat()
{
    for (;;) {
        beat();
        std::unique_lock lock(mutex_);
        if (changed_.wait_for(lock, HeartbeatInterval, [this] {
                return isStopping_;
            })) {
            return;
        }
    }
}

std::string Target::load() const
{
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(description_.slots_) + ",100";
}

Reply Target::reject(const Request &request, int status) const
{
    Reply rejection{status, {{"Goldcrestwall-Not-Executed", "1"}, {"Goldcrestwall-Instance-Id", description_.id_}}};
    if (const auto id = request.head_.get(RequestIdHeader, ""); !id.empty()) {
        rejection.headers_[RequestIdHeader] = id;
    }
    return rejection;
}

Reply Target::handle(const Request &request)
{
    if (request.head_.get("Goldcrestwall-Target-Instance", description_.id_) != description_.id_) {
        return reject(request, 421);
    }
    if (request.target_ == "/health") {
        const std::lock_guard lock(mutex_);
        return {isDraining_ ? 503 : 200,
                {{"Goldcrestwall-Instance-Id", description_.id_}, {"Goldcrestwall-Warmup-Ms", "0"}, {"Goldcrestwall-Server-Load", load()}}};
    }
    if (request.target_ == "/-/grant") {
        return grant(request.body_);
    }
    if (request.target_ == "/-/release") {
        return release(request.body_);
    }
    return run(request);
}

Reply Target::grant(const std::string &body)
{
    const TimePoint arrivedAt = Clock::now();
    const auto order = Json::parse(body);
    const auto first = order.at("from").get<std::uint32_t>();
    const auto last = order.at("to").get<std::uint32_t>();
    const auto token = order.at("fence").get<std::uint64_t>();
    const auto hold = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(order.at("holdS").get<double>()));
    const std::lock_guard lock(mutex_);
    const bool isKeyed = description_.ledger_ != nullptr && first <= last && last < KeyCount;
    if (!isKeyed) {
        return {400};
    }
    const auto seenBegin = seenTokens_.begin() + first;
    const auto seenEnd = seenTokens_.begin() + last + 1;
    if (*std::max_element(seenBegin, seenEnd) > token) {
        record_.write("target " + description_.id_ + " refuses keys " + std::to_string(first) + " to " + std::to_string(last) + " with token "
                      + std::to_string(token));
        return {409};
    }
    if (*std::min_element(seenBegin, seenEnd) < token) {
        record_.write("target " + description_.id_ + " takes keys " + std::to_string(first) + " to " + std::to_string(last) + " with token "
                      + std::to_string(token));
    }
    std::fill(seenBegin, seenEnd, token);
    description_.ledger_->grant(description_.id_, first, last, token, arrivedAt + hold);
    return {200};
}

Reply Target::release(const std::string &body)
{
    const auto order = Json::parse(body);
    const auto first = order.at("from").get<std::uint32_t>();
    const auto last = order.at("to").get<std::uint32_t>();
    const auto token = order.at("fence").get<std::uint64_t>();
    std::unique_lock lock(mutex_);
    for (std::uint32_t key = first; key <= last; ++key) {
        seenTokens_[key] = std::max(seenTokens_[key], token);
    }
    description_.ledger_->release(description_.id_, first, last);
    record_.write("target " + description_.id_ + " releases keys " + std::to_string(first) + " to " + std::to_string(last) + " by token "
                  + std::to_string(token));
    changed_.wait(lock, [this] {
        return running_ == 0 || isStopping_;
    });
    return {200, {{"Goldcrestwall-Handover", "handover-" + description_.id_}}};
}

Reply Target::run(const Request &request)
{
    const std::string id = request.head_.get(RequestIdHeader, "");
    if (id.empty()) {
        return reject(request, 400);
    }
    {
        std::unique_lock lock(mutex_);
        const auto key = request.head_.get("Goldcrestwall-Shard-Key", "0");
        if (description_.ledger_ != nullptr && !description_.ledger_->holds(description_.id_, static_cast<std::uint32_t>(std::stoul(key)))) {
            return reject(request, 421);
        }
        if (running_ >= description_.slots_ && waiting_ >= QueueLength) {
            return reject(request, 503);
        }
        ++waiting_;
        changed_.wait(lock, [this] {
            return running_ < description_.slots_ || isStopping_;
        });
        --waiting_;
        ++running_;
    }
    runs_.add({id, description_.id_, description_.service_, request.target_, Clock::now()});
    std::this_thread::sleep_for(description_.work_);
    const std::lock_guard lock(mutex_);
    --running_;
    changed_.notify_all();
    return {200,
            {{RequestIdHeader, id}, {"Goldcrestwall-Server-Signature", "signature-" + description_.id_}, {"Goldcrestwall-Server-Load", load()}},
            description_.service_};
}

} // namespace Review
