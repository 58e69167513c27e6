// Answers of a target in trouble.
#include "RefusingTarget.h"

#include <nlohmann/json.hpp>

namespace Review {

namespace {

constexpr Duration HeartbeatInterval = 870ms;
constexpr Duration WorkTime = 10ms;
// Between the bytes of no answer and the answer.
constexpr int Slots = 4;
constexpr const char *RequestIdHeader = "Goldcrestwall-Request-Id";

} // namespace

RefusingTarget::RefusingTarget(std::string id, std::string service, std::string zone, std::uint32_t seed, Store &store, RunList &runs, Record &record)
    : id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , store_(store)
    , runs_(runs)
    , record_(record)
    , born_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , random_(seed)
{
    listener_ = std::make_unique<HttpListener>([this](const Request &request) {
        return handle(request);
    });
    heartbeat_ = std::thread([this] {
        runHeartbeat();
    });
}

RefusingTarget::~RefusingTarget()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
        changed_.notify_all();
    }
    heartbeat_.join();
    listener_->stop();
}

void RefusingTarget::setTrouble(Trouble trouble)
{
    const std::lock_guard lock(mutex_);
    trouble_ = trouble;
}

TroubleCount RefusingTarget::count() const
{
    const std::lock_guard lock(mutex_);
    return count_;
}

void RefusingTarget::beat()
{
    nlohmann::json entry{{"service", service_}, {"address", listener_->address()}, {"zone", zone_}, {"version", "v1"}, {"capacity", Slots}};
    entry.update({{"state", "ready"}, {"warmupLeftS", 0}, {"sequence", ++sequence_}, {"born", born_}});
    store_.put("servers/" + id_, entry.dump());
}

void RefusingTarget::runHeartbeat()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        beat();
        changed_.wait_for(lock, HeartbeatInterval);
    }
}

std::string RefusingTarget::makeRefusal(const std::string &requestId) const
{
    return "HTTP/1.1 503 Service Unavailable\r\nGoldcrestwall-Not-Executed: 1\r\nGoldcrestwall-Instance-Id: " + id_
        + "\r\nGoldcrestwall-Server-Load: 4,8,4,100\r\nContent-Length: 0\r\nGoldcrestwall-Request-Id: " + requestId + "\r\n\r\n";
}

std::string RefusingTarget::makeAnswer(const std::string &requestId) const
{
    const std::string body = "booked at " + id_;
    return "HTTP/1.1 200 OK\r\nGoldcrestwall-Request-Id: " + requestId
        + "\r\nGoldcrestwall-Server-Signature: signature\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string RefusingTarget::takeSpoilt(std::uint16_t port)
{
    const auto refusal = refusals_.find(port);
    const bool isSpoilt = refusal != refusals_.end() && static_cast<double>(count_.spoilt_ + 1) <= trouble_.spoilt_ * static_cast<double>(count_.answers_);
    if (!isSpoilt) {
        return {};
    }
    ++count_.spoilt_;
    const auto size = 1 + random_() % (refusal->second.size() - 1);
    return refusal->second.substr(0, size);
}

Reply RefusingTarget::handle(const Request &request)
{
    if (request.head_.get("Goldcrestwall-Target-Instance", id_) != id_) {
        return {421, {{"Goldcrestwall-Not-Executed", "1"}, {"Goldcrestwall-Instance-Id", id_}}};
    }
    if (request.target_ == "/health") {
        return {200, {{"Goldcrestwall-Instance-Id", id_}, {"Goldcrestwall-Server-Load", "0,0,4,100"}}};
    }
    const std::string id = request.head_.get(RequestIdHeader, "");
    if (id.empty()) {
        return {400, {{"Goldcrestwall-Not-Executed", "1"}}};
    }
    const auto port = request.head_.clientAddress().port();
    std::string spoilt;
    {
        const std::lock_guard lock(mutex_);
        ++count_.answers_;
        spoilt = takeSpoilt(port);
        const bool isRefused = spoilt.empty() && std::uniform_real_distribution<double>()(random_) < trouble_.refused_;
        if (isRefused) {
            ++count_.refusals_;
            refusals_[port] = makeRefusal(id);
            Reply refusal;
            refusal.rawBytes_ = refusals_[port];
            return refusal;
        }
    }
    runs_.add({id, id_, service_, request.target_, Clock::now()});
    if (!spoilt.empty()) {
        record_.write("target " + id_ + " runs " + id + ", and sends " + std::to_string(spoilt.size()) + " bytes of an earlier refusal before the answer");
    }
    std::this_thread::sleep_for(WorkTime);
    Reply answer;
    answer.rawBytes_ = spoilt + makeAnswer(id);
    return answer;
}

} // namespace Review
