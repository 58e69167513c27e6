// Implements the stand-in for a backend server of the platform.
#include "PlatformServerStandIn.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

#include <nlohmann/json.hpp>

namespace Goldcrestwall {

using Json = nlohmann::json;

namespace {

constexpr int MaxThreads = 2000;
constexpr auto PairPollInterval = std::chrono::milliseconds(1);
// How long after a rejection its copy follows, or after the first part of a copy the second.
constexpr auto CopyDelay = std::chrono::milliseconds(5);
// How long after a response during an upload the connection is reset: long enough for the upload to fill its buffers.
constexpr auto UploadCutDelay = std::chrono::milliseconds(30);
constexpr auto LateGrantDelay = std::chrono::milliseconds(1500);
// A cold server may get this multiple of its rate plus this number of requests within a second; more is a violation.
constexpr double ColdRateFactor = 1.5;
constexpr double ColdRateAllowance = 5;

Poco::ThreadPool &threadPool()
{
    static Poco::ThreadPool threads(4, MaxThreads);
    return threads;
}

bool repeatsRejections(PlatformServerFault fault)
{
    switch (fault) {
    case PlatformServerFault::RepeatsRejections:
    case PlatformServerFault::RepeatsRejectionsTwice:
    case PlatformServerFault::RepeatsRejectionsInParts:
    case PlatformServerFault::RepeatsRejectionsEarly:
        return true;
    default:
        return false;
    }
}

std::string formatResponse(const std::string &requestId, const std::string &body, std::size_t announced)
{
    return "HTTP/1.1 200 OK\r\nGoldcrestwall-Request-Id: " + requestId + "\r\nGoldcrestwall-Server-Signature: s\r\nContent-Length: " + std::to_string(announced)
        + "\r\n\r\n" + body;
}

} // namespace

std::size_t PlatformRunRecorder::recordRun(PlatformRun run)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
    return runs_.size();
}

bool PlatformRunRecorder::recordRejection(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    return rejectedOnce_.insert(requestId).second;
}

std::size_t PlatformRunRecorder::runCount() const
{
    const std::lock_guard lock(mutex_);
    return runs_.size();
}

void PlatformRunRecorder::recordViolation(std::string what)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(std::move(what));
}

std::vector<PlatformRun> PlatformRunRecorder::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::size_t PlatformRunRecorder::runsOf(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count(runs_, requestId, &PlatformRun::requestId_));
}

std::vector<std::string> PlatformRunRecorder::violations() const
{
    const std::lock_guard lock(mutex_);
    return violations_;
}

void PlatformRunRecorder::recordArrival(PlatformArrival arrival)
{
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(std::move(arrival));
}

std::vector<PlatformArrival> PlatformRunRecorder::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

void PlatformRunRecorder::recordHoldings(PlatformHoldings holdings)
{
    const std::lock_guard lock(mutex_);
    holdings_.push_back(std::move(holdings));
}

std::vector<PlatformHoldings> PlatformRunRecorder::holdings() const
{
    const std::lock_guard lock(mutex_);
    return holdings_;
}

void PlatformRunRecorder::recordTakenKeys(const std::string &service, const std::string &holder, const PlatformHold &hold)
{
    const std::lock_guard lock(mutex_);
    if (const auto conflict = takenTokens_[service].record(holder, hold.first_, hold.last_, hold.token_)) {
        violations_.push_back(holder + " takes keys " + std::to_string(hold.first_) + " to " + std::to_string(hold.last_) + " with token "
                              + std::to_string(hold.token_) + ", but " + conflict->holder_ + " had keys of them with token "
                              + std::to_string(conflict->token_));
    }
}

PlatformServerStandIn::PlatformServerStandIn(std::string id, PlatformServerBehaviour behaviour, PlatformStoreStandIn &store, PlatformRunRecorder &recorder)
    : id_(std::move(id))
    , behaviour_(std::move(behaviour))
    , store_(store)
    , recorder_(recorder)
    , startTime_(unixNow())
{
    auto *parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(MaxThreads);
    parameters->setMaxQueued(MaxThreads);
    parameters->setKeepAliveTimeout(Poco::Timespan(5, 0));
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    server_ = std::make_unique<Poco::Net::HTTPServer>(new RequestHandlers<PlatformServerStandIn>(*this, runningRequests_), threadPool(), socket, parameters);
    server_->start();
}

PlatformServerStandIn::~PlatformServerStandIn()
{
    stop();
}

void PlatformServerStandIn::stop()
{
    setFault(PlatformServerFault::None);
    server_->stopAll(true);
    runningRequests_->closeAndWait();
}

std::string PlatformServerStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

std::int64_t PlatformServerStandIn::startTime() const
{
    const std::lock_guard lock(mutex_);
    return startTime_;
}

void PlatformServerStandIn::setRegisteredAddress(std::string address)
{
    const std::lock_guard lock(mutex_);
    registeredAddress_ = std::move(address);
}

void PlatformServerStandIn::registerEntry(const std::string &state)
{
    const std::lock_guard entryLock(entryMutex_);
    registeredState_ = state;
    writeEntry(state);
}

void PlatformServerStandIn::rewriteEntry()
{
    const std::lock_guard entryLock(entryMutex_);
    if (!registeredState_.empty()) {
        writeEntry(registeredState_);
    }
}

void PlatformServerStandIn::writeEntry(const std::string &state)
{
    Json entry;
    {
        const std::lock_guard lock(mutex_);
        const auto left = std::max(0.0, std::chrono::duration<double>(coldUntil_ - monotonicNow()).count());
        entry = {{"service", behaviour_.service_},
                 {"address", registeredAddress_.empty() ? address() : registeredAddress_},
                 {"zone", behaviour_.domain_},
                 {"version", "v1"},
                 {"capacity", behaviour_.slots_},
                 {"state", state},
                 {"warmupLeftS", left},
                 {"sequence", ++sequence_},
                 {"born", startTime_}};
    }
    store_.put("servers/" + id_, entry.dump());
}

void PlatformServerStandIn::removeEntry()
{
    const std::lock_guard entryLock(entryMutex_);
    registeredState_.clear();
    store_.remove("servers/" + id_);
}

void PlatformServerStandIn::setFault(PlatformServerFault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    runsBeforeFault_ = recorder_.runCount();
    stateChanged_.notify_all();
}

bool PlatformServerStandIn::hasFault(PlatformServerFault fault) const
{
    const std::lock_guard lock(mutex_);
    return fault_ == fault;
}

void PlatformServerStandIn::setLeavingHeader(std::string value)
{
    const std::lock_guard lock(announcementMutex_);
    leavingHeader_ = std::move(value);
}

void PlatformServerStandIn::setRetryAfter(std::string value)
{
    const std::lock_guard lock(announcementMutex_);
    retryAfter_ = std::move(value);
}

void PlatformServerStandIn::setLimit(const std::string &value)
{
    const std::lock_guard lock(announcementMutex_);
    limitHeader_ = value;
    char *end = nullptr;
    const double limit = std::strtod(value.c_str(), &end);
    const bool isNumber = !value.empty() && *end == '\0' && limit >= 0;
    limitMeter_.setLimit(isNumber ? std::make_optional(limit) : std::nullopt, monotonicNow());
}

void PlatformServerStandIn::setStatus(std::string value)
{
    const std::lock_guard lock(announcementMutex_);
    status_ = std::move(value);
}

void PlatformServerStandIn::setRawResponse(std::optional<RawResponse> response)
{
    const std::lock_guard lock(announcementMutex_);
    rawResponse_ = std::move(response);
}

std::optional<RawResponse> PlatformServerStandIn::rawResponse() const
{
    const std::lock_guard lock(announcementMutex_);
    return rawResponse_;
}

void PlatformServerStandIn::recordArrival()
{
    ++arrivalCount_;
    const std::lock_guard lock(announcementMutex_);
    if (const auto count = limitMeter_.recordArrival(monotonicNow())) {
        recorder_.recordViolation(id_ + " has named a limit of " + limitHeader_ + " and got " + std::to_string(*count) + " requests in 4 s");
    }
}

bool PlatformServerStandIn::isLeftAlone() const
{
    const std::lock_guard lock(announcementMutex_);
    return !retryAfter_.empty();
}

void PlatformServerStandIn::setAnnouncementHeaders(Poco::Net::HTTPServerResponse &response) const
{
    const std::lock_guard lock(announcementMutex_);
    if (!leavingHeader_.empty()) {
        response.set("server-leaving", leavingHeader_);
    }
    if (!limitHeader_.empty()) {
        response.set("server-limit", limitHeader_);
    }
    if (!retryAfter_.empty() && response.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
        response.set("Retry-After", retryAfter_);
    }
}

void PlatformServerStandIn::restart()
{
    const std::lock_guard lock(mutex_);
    holds_.clear();
    recorder_.recordHoldings({id_, monotonicNow(), holds_});
    seenTokens_ = {};
    startTime_ = unixNow() + 1;
    sequence_ = 0;
    coldUntil_ = monotonicNow() + behaviour_.warmupTime_;
}

void PlatformServerStandIn::setSiblings(std::vector<PlatformServerStandIn *> siblings)
{
    siblings_ = std::move(siblings);
}

bool PlatformServerStandIn::holdsLocked(std::uint32_t key) const
{
    const TimePoint now = monotonicNow();
    return std::ranges::any_of(holds_, [&](const Hold &hold) {
        return hold.first_ <= key && key <= hold.last_ && now < hold.until_;
    });
}

bool PlatformServerStandIn::holds(std::uint32_t key) const
{
    const std::lock_guard lock(mutex_);
    return holdsLocked(key);
}

std::string PlatformServerStandIn::load() const
{
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(behaviour_.slots_) + ",100";
}

void PlatformServerStandIn::reject(const Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, int status) const
{
    if (const auto requestId = request.get("Goldcrestwall-Request-Id", ""); !requestId.empty()) {
        response.set("Goldcrestwall-Request-Id", requestId);
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.set("Goldcrestwall-Not-Executed", "1");
    response.set("Goldcrestwall-Instance-Id", id_);
    setAnnouncementHeaders(response);
    response.setContentLength(0);
    response.send();
}

void PlatformServerStandIn::checkHealth(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    ++healthCount_;
    if (isLeftAlone()) {
        reject(request, response, 503);
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto left = std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(coldUntil_ - monotonicNow()).count());
    response.set("Goldcrestwall-Instance-Id", id_);
    response.set("Goldcrestwall-Warmup-Ms", std::to_string(left));
    response.set("Goldcrestwall-Server-Load", load());
    setAnnouncementHeaders(response);
    sendResponse(request, response, "");
}

void PlatformServerStandIn::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    if (respondDuringUpload(request)) {
        return;
    }
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const auto &path = request.getURI();
    const std::string targetId = request.get("Goldcrestwall-Target-Instance", id_);
    if (targetId != id_) {
        reject(request, response, 421);
    } else if (path == "/-/grant") {
        grant(request, body, response);
    } else if (path == "/-/release" && hasFault(PlatformServerFault::IgnoresReleases)) {
        sendRaw(request, "", true);
    } else if (path == "/-/release") {
        release(request, body, response);
    } else if (path == "/health") {
        checkHealth(request, response);
    } else if (!isRejected(request, response)) {
        run(request, response, body);
    }
}

void PlatformServerStandIn::grant(Poco::Net::HTTPServerRequest &request, const std::string &body, Poco::Net::HTTPServerResponse &response)
{
    const TimePoint arrivedAt = monotonicNow();
    ++grantCount_;
    const auto order = Json::parse(body);
    Hold hold;
    hold.first_ = order.at("from").get<std::uint32_t>();
    hold.last_ = order.at("to").get<std::uint32_t>();
    hold.token_ = order.at("fence").get<std::uint64_t>();
    hold.until_ = arrivedAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(order.at("holdS").get<double>()));
    if (hold.until_ - arrivedAt > behaviour_.maxHoldTime_) {
        response.setStatus(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
        response.setContentLength(0);
        response.send();
        return;
    }
    const bool sendsCopies = hasFault(PlatformServerFault::GrantsLateAfterCopies);
    if (sendsCopies) {
        sendPreviousShardCallResponse(request);
    }
    std::unique_lock lock(mutex_);
    if (sendsCopies || fault_ == PlatformServerFault::GrantsLate) {
        ++lateGrantCount_;
        stateChanged_.wait_for(lock, LateGrantDelay, [this] {
            return fault_ == PlatformServerFault::None;
        });
    }
    const bool isOld = seenTokens_.highest(hold.first_, hold.last_) > hold.token_;
    if (!isOld) {
        seenTokens_.record(hold.first_, hold.last_, hold.token_);
        std::erase_if(holds_, [&hold](const Hold &held) {
            return held.first_ == hold.first_ && held.last_ == hold.last_;
        });
        holds_.push_back(hold);
        recorder_.recordHoldings({id_, monotonicNow(), holds_});
        recorder_.recordTakenKeys(behaviour_.service_, id_ + " born at " + std::to_string(startTime_), hold);
    }
    response.setStatus(isOld ? Poco::Net::HTTPResponse::HTTP_CONFLICT : Poco::Net::HTTPResponse::HTTP_OK);
    respondToShardCall(request, response);
}

void PlatformServerStandIn::release(Poco::Net::HTTPServerRequest &request, const std::string &body, Poco::Net::HTTPServerResponse &response)
{
    const auto order = Json::parse(body);
    const auto first = order.at("from").get<std::uint32_t>();
    const auto last = order.at("to").get<std::uint32_t>();
    std::unique_lock lock(mutex_);
    seenTokens_.record(first, last, order.at("fence").get<std::uint64_t>());
    std::vector<Hold> remaining;
    for (const auto &hold : holds_) {
        if (hold.last_ < first || hold.first_ > last) {
            remaining.push_back(hold);
            continue;
        }
        if (hold.first_ < first) {
            remaining.push_back({hold.first_, first - 1, hold.token_, hold.until_});
        }
        if (hold.last_ > last) {
            remaining.push_back({last + 1, hold.last_, hold.token_, hold.until_});
        }
    }
    holds_ = std::move(remaining);
    recorder_.recordHoldings({id_, monotonicNow(), holds_});
    stateChanged_.wait(lock, [this] {
        return running_ == 0 || fault_ == PlatformServerFault::Unresponsive;
    });
    response.set("Goldcrestwall-Handover", "handover-" + id_);
    respondToShardCall(request, response);
}

void PlatformServerStandIn::respondToShardCall(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    setAnnouncementHeaders(response);
    response.setContentLength(0);
    std::ostringstream bytes;
    response.write(bytes);
    lastShardCallResponses_[request.clientAddress().port()] = bytes.str();
    sendResponse(request, response, "");
}

bool PlatformServerStandIn::isRejected(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const TimePoint arrivedAt = monotonicNow();
    std::unique_lock lock(mutex_);
    const std::string requestId = request.get("Goldcrestwall-Request-Id", "");
    if (requestId.empty()) {
        reject(request, response, 400);
        return true;
    }
    recordArrival();
    if (const auto fault = fault_; repeatsRejections(fault)) {
        lock.unlock();
        if (isRejectedOnce(request, fault)) {
            return true;
        }
        lock.lock();
    }
    if (fault_ == PlatformServerFault::Sheds || isLeftAlone() || (running_ >= behaviour_.slots_ && waiting_ >= behaviour_.queue_)) {
        recorder_.recordArrival({requestId, id_, arrivedAt});
        reject(request, response, 503);
        return true;
    }
    if (behaviour_.isSharded_) {
        const auto key = static_cast<std::uint32_t>(std::stoul(request.get("Goldcrestwall-Shard-Key", "0")));
        if (!holdsLocked(key)) {
            reject(request, response, 421);
            return true;
        }
        lock.unlock();
        for (const auto *sibling : siblings_) {
            if (sibling != this && sibling->holds(key)) {
                recorder_.recordViolation("key " + std::to_string(key) + " is held by " + id_ + " and " + sibling->id());
            }
        }
    }
    recorder_.recordArrival({requestId, id_, arrivedAt});
    return false;
}

void PlatformServerStandIn::run(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body)
{
    const std::string requestId = request.get("Goldcrestwall-Request-Id");
    PlatformServerFault fault = PlatformServerFault::None;
    {
        std::unique_lock lock(mutex_);
        const TimePoint now = monotonicNow();
        if (behaviour_.warmupLimiter_ > 0 && now < coldUntil_) {
            recentColdArrivals_.push_back(now);
            while (recentColdArrivals_.front() + 1s < now) {
                recentColdArrivals_.pop_front();
            }
            if (static_cast<double>(recentColdArrivals_.size()) > ColdRateFactor * behaviour_.warmupLimiter_ + ColdRateAllowance) {
                recorder_.recordViolation(id_ + " is cold and got " + std::to_string(recentColdArrivals_.size()) + " requests in a second");
            }
        }
        ++waiting_;
        stateChanged_.wait(lock, [this] {
            return running_ < behaviour_.slots_;
        });
        --waiting_;
        ++running_;
        fault = fault_;
    }
    const std::size_t number = recorder_.recordRun({requestId, id_, request.getMethod(), request.getURI(), body, monotonicNow()});
    std::this_thread::sleep_for(std::chrono::microseconds(behaviour_.serviceTime_));
    {
        std::unique_lock lock(mutex_);
        if (fault == PlatformServerFault::Unresponsive) {
            stateChanged_.wait(lock, [this] {
                return fault_ != PlatformServerFault::Unresponsive;
            });
        }
        if (fault == PlatformServerFault::RespondsInPairs) {
            const bool isSecond = (number - runsBeforeFault_) % 2 == 0;
            while (fault_ == PlatformServerFault::RespondsInPairs && !isSecond && recorder_.runCount() == number) {
                stateChanged_.wait_for(lock, PairPollInterval);
            }
        }
        --running_;
        stateChanged_.notify_all();
    }
    const std::string text = id_ + " ran " + request.getURI() + " for " + requestId + "\n";
    switch (fault) {
    case PlatformServerFault::LosesAnswers:
    case PlatformServerFault::Unresponsive:
        sendRaw(request, "", true);
        return;
    case PlatformServerFault::Truncates:
        sendRaw(request, formatResponse(requestId, text, text.size() + 100), false);
        return;
    case PlatformServerFault::SendsMalformedBytes:
        sendRaw(request, "\x01\x02 this is no answer\r\n\r\n", false);
        return;
    case PlatformServerFault::SendsTwoResponses:
        sendRaw(request, formatResponse(requestId, text, text.size()) + formatResponse(requestId, "again\n", 6), false);
        return;
    case PlatformServerFault::SendsOtherResponseFirst:
        sendRaw(request, formatResponse("another", "another\n", 8) + formatResponse(requestId, text, text.size()), false);
        return;
    case PlatformServerFault::ClosesConnections:
        sendRaw(request, formatResponse(requestId, text, text.size()), false);
        return;
    case PlatformServerFault::RepeatsPreviousResponse:
        sendWithPreviousResponse(request, formatResponse(requestId, text, text.size()));
        return;
    case PlatformServerFault::SendsUnnamedRejections:
        sendAfterUnnamedRejection(request, formatResponse(requestId, text, text.size()));
        return;
    case PlatformServerFault::MisdirectsWithoutStatement:
        sendRaw(request, "HTTP/1.1 421 Misdirected Request\r\nGoldcrestwall-Request-Id: " + requestId + "\r\nContent-Length: 0\r\n\r\n", false);
        return;
    case PlatformServerFault::EndlessHeaders:
        sendEndless(request, "HTTP/1.1 200 OK\r\n", "X-More: " + std::string(1000, 'x') + "\r\n");
        return;
    case PlatformServerFault::EndlessBody:
        sendEndless(request,
                    "HTTP/1.1 200 OK\r\nGoldcrestwall-Request-Id: " + requestId + "\r\nGoldcrestwall-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "400\r\n" + std::string(1024, 'x') + "\r\n");
        return;
    default:
        break;
    }
    response.set("Goldcrestwall-Request-Id", requestId);
    if (fault != PlatformServerFault::OmitsSignature) {
        response.set("Goldcrestwall-Server-Signature", "s");
    }
    setAnnouncementHeaders(response);
    {
        const std::lock_guard lock(mutex_);
        response.set("Goldcrestwall-Server-Load", load());
    }
    sendResponse(request, response, text);
}

bool PlatformServerStandIn::isRejectedOnce(Poco::Net::HTTPServerRequest &request, PlatformServerFault fault)
{
    // Bypasses the response object, so that the connection stays open.
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    const std::string requestId = request.get("Goldcrestwall-Request-Id");
    std::string bytes =
        "HTTP/1.1 503 Service Unavailable\r\nGoldcrestwall-Request-Id: " + requestId + "\r\nGoldcrestwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    bool isFirst = false;
    {
        const std::lock_guard lock(mutex_);
        auto &last = lastRejections_[request.clientAddress().port()];
        isFirst = recorder_.recordRejection(requestId);
        if (isFirst) {
            last = bytes;
        } else {
            bytes = fault == PlatformServerFault::RepeatsRejectionsTwice ? last + last : last;
        }
    }
    const bool isInParts = !isFirst && fault == PlatformServerFault::RepeatsRejectionsInParts;
    const auto firstPart = static_cast<int>(isInParts ? bytes.size() / 2 : bytes.size());
    if (isFirst || fault != PlatformServerFault::RepeatsRejectionsEarly) {
        socket.sendBytes(bytes.data(), firstPart);
    }
    if (isInParts) {
        std::this_thread::sleep_for(CopyDelay);
        socket.sendBytes(bytes.data() + firstPart, static_cast<int>(bytes.size()) - firstPart);
    }
    if (isFirst && fault == PlatformServerFault::RepeatsRejectionsEarly) {
        std::this_thread::sleep_for(CopyDelay);
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    return isFirst;
}

void PlatformServerStandIn::sendAfterUnnamedRejection(Poco::Net::HTTPServerRequest &request, const std::string &answer)
{
    // Bypasses the response object, so that the connection stays open.
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    std::string bytes = answer;
    {
        const std::lock_guard lock(mutex_);
        auto &last = lastResponses_[request.clientAddress().port()];
        if (!last.empty()) {
            bytes = "HTTP/1.1 503 Service Unavailable\r\nGoldcrestwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" + answer;
        }
        last = answer;
    }
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void PlatformServerStandIn::sendPreviousShardCallResponse(Poco::Net::HTTPServerRequest &request)
{
    // Bypasses the response object, so that the connection stays open.
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    const std::lock_guard lock(mutex_);
    const auto &copy = lastShardCallResponses_[request.clientAddress().port()];
    socket.sendBytes(copy.data(), static_cast<int>(copy.size()));
}

void PlatformServerStandIn::sendWithPreviousResponse(Poco::Net::HTTPServerRequest &request, const std::string &answer)
{
    // Bypasses the response object, so that the connection stays open.
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    std::string bytes = answer;
    {
        const std::lock_guard lock(mutex_);
        auto &last = lastResponses_[request.clientAddress().port()];
        bytes = last + answer;
        last = answer;
    }
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void PlatformServerStandIn::sendEndless(Poco::Net::HTTPServerRequest &request, const std::string &head, const std::string &filler)
{
    auto socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket();
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    try {
        for (;;) {
            socket.sendBytes(filler.data(), static_cast<int>(filler.size()));
            const std::lock_guard lock(mutex_);
            if (fault_ == PlatformServerFault::None) {
                break;
            }
        }
    } catch (const Poco::Exception &) {
        ++closedEndlessCount_;
    }
    socket.close();
}

void PlatformServerStandIn::sendResponse(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body)
{
    if (sendRawResponse(request)) {
        return;
    }
    std::string status;
    {
        const std::lock_guard lock(announcementMutex_);
        status = status_;
    }
    if (status.empty()) {
        response.sendBuffer(body.data(), body.size());
        return;
    }
    // Interim responses have no body.
    const std::string content = status.starts_with('1') ? std::string() : body;
    response.setContentLength(static_cast<std::streamsize>(content.size()));
    std::ostringstream head;
    response.write(head);
    const std::string bytes = "HTTP/1.1 " + status + " Odd" + head.str().substr(head.str().find("\r\n")) + content;
    // Bypasses the response object, so that the connection stays open.
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

bool PlatformServerStandIn::sendRawResponse(Poco::Net::HTTPServerRequest &request)
{
    const auto raw = rawResponse();
    if (!raw || raw->timing_ == RawResponseTiming::DuringUpload) {
        return false;
    }
    const auto bytes = Poco::replace(raw->bytes_, std::string("{id}"), request.get("Goldcrestwall-Request-Id", id_));
    if (raw->timing_ == RawResponseTiming::AfterRunThenClose) {
        sendRaw(request, bytes, false);
        return true;
    }
    // Bypasses the response object, so that the connection stays open.
    static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    return true;
}

bool PlatformServerStandIn::respondDuringUpload(Poco::Net::HTTPServerRequest &request)
{
    const auto raw = rawResponse();
    const std::string requestId = request.get("Goldcrestwall-Request-Id", "");
    if (!raw || raw->timing_ != RawResponseTiming::DuringUpload || requestId.empty()) {
        return false;
    }
    recordArrival();
    recorder_.recordArrival({requestId, id_, monotonicNow()});
    recorder_.recordRun({requestId, id_, request.getMethod(), request.getURI(), "", monotonicNow()});
    const auto bytes = Poco::replace(raw->bytes_, std::string("{id}"), requestId);
    auto socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket();
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::this_thread::sleep_for(UploadCutDelay);
    socket.setLinger(true, 0);
    socket.close();
    return true;
}

void PlatformServerStandIn::sendRaw(Poco::Net::HTTPServerRequest &request, const std::string &bytes, bool isReset)
{
    auto socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket();
    if (isReset) {
        socket.setLinger(true, 0);
    } else {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    socket.close();
}

} // namespace Goldcrestwall
