// Implements the stand-in for a backend server, and its /standin/ paths that set faults and return the log.
#include "BackendStandIn.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <thread>

namespace Goldcrestwall {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// How long a cold server that got too many concurrent requests delays its responses.
constexpr Duration OverloadDuration = 2s;
constexpr int SlowdownFactor = 10;

std::uint64_t numberOf(const HTTPServerRequest &request, const char *header)
{
    return std::stoull(request.get(header, "0"));
}

BackendFault parseFault(const std::string &name)
{
    return name == "frozen"        ? BackendFault::Suspended
        : name == "truncates"      ? BackendFault::Truncates
        : name == "silent"         ? BackendFault::Unresponsive
        : name == "out-of-order"   ? BackendFault::OutOfOrder
        : name == "straggles"      ? BackendFault::RespondsSlowly
        : name == "draining"       ? BackendFault::Draining
        : name == "sheds"          ? BackendFault::Sheds
        : name == "odd-field-name" ? BackendFault::SendsOddFieldName
                                   : BackendFault::None;
}

} // namespace

BackendStandIn::BackendStandIn(std::string name, std::uint16_t port, BackendBehaviour behaviour)
    : name_(std::move(name))
    , behaviour_(behaviour)
    , bootId_(name_ + "-" + std::to_string(unixNow()))
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(static_cast<int>(behaviour.connections_));
    parameters->setMaxQueued(static_cast<int>(behaviour.connections_));
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    parameters->setMaxKeepAliveRequests(0);
    server_ = std::make_unique<Poco::Net::HTTPServer>(new RequestHandlers<BackendStandIn>(*this, runningRequests_), socket, parameters);
    server_->start();
}

BackendStandIn::~BackendStandIn()
{
    setFault(BackendFault::None);
    server_->stopAll(true);
    runningRequests_->closeAndWait();
}

std::string BackendStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

void BackendStandIn::setFault(BackendFault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
    resumed_.notify_all();
}

void BackendStandIn::restart()
{
    const std::lock_guard lock(mutex_);
    bootId_ += "+";
    served_ = 0;
    highestToken_ = 0;
    counters_.clear();
}

std::vector<ExecutionEntry> BackendStandIn::log() const
{
    const std::lock_guard lock(mutex_);
    return log_;
}

std::uint32_t BackendStandIn::coldPeak() const
{
    const std::lock_guard lock(mutex_);
    return coldPeak_;
}

std::uint32_t BackendStandIn::overloadCount() const
{
    const std::lock_guard lock(mutex_);
    return overloadCount_;
}

void BackendStandIn::waitWhileSuspended()
{
    std::unique_lock lock(mutex_);
    resumed_.wait(lock, [&] {
        return fault_ != BackendFault::Suspended;
    });
}

void BackendStandIn::setStatusHeaders(HTTPServerResponse &response)
{
    const std::lock_guard lock(mutex_);
    response.set("Goldcrestwall-Boot-Id", bootId_);
    response.set("Goldcrestwall-Running", std::to_string(running_));
    if (fault_ == BackendFault::Draining) {
        response.set("Goldcrestwall-State", "draining");
    }
}

void BackendStandIn::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const Poco::URI uri(request.getURI());
    if (uri.getPath() == "/standin/fault") {
        setFault(parseFault(uri.getQuery()));
        response.sendBuffer("", 0);
        return;
    }
    if (uri.getPath() == "/standin/restart") {
        restart();
        response.sendBuffer("", 0);
        return;
    }
    if (uri.getPath() == "/standin/log") {
        std::string text;
        for (const ExecutionEntry &entry : log()) {
            text += entry.requestId_ + " " + entry.key_ + " " + std::to_string(entry.startedAt_) + " " + std::to_string(entry.endedAt_) + "\n";
        }
        response.sendBuffer(text.data(), text.size());
        return;
    }
    waitWhileSuspended();
    if (uri.getPath() == "/.goldcrestwall/grant") {
        grant(request, response);
    } else if (uri.getPath() == "/.goldcrestwall/cancel") {
        cancel(request, response);
    } else if (uri.getPath() == "/.goldcrestwall/health") {
        setStatusHeaders(response);
        response.sendBuffer("", 0);
    } else {
        run(request, response, body);
    }
}

void BackendStandIn::grant(HTTPServerRequest &request, HTTPServerResponse &response)
{
    setStatusHeaders(response);
    const std::lock_guard lock(mutex_);
    const FencingToken token = numberOf(request, "Goldcrestwall-Token");
    if (token < highestToken_) {
        response.setStatus(HTTPResponse::HTTP_CONFLICT);
    } else {
        highestToken_ = token;
    }
    response.sendBuffer("", 0);
}

void BackendStandIn::cancel(const HTTPServerRequest &request, HTTPServerResponse &response)
{
    const std::lock_guard lock(mutex_);
    const std::string correlation = request.get("Goldcrestwall-Correlation", {});
    const bool hasStarted = startedCorrelations_.contains(correlation);
    if (!hasStarted) {
        cancelledCorrelations_.insert(correlation);
    }
    response.setStatus(hasStarted ? HTTPResponse::HTTP_CONFLICT : HTTPResponse::HTTP_OK);
    response.sendBuffer("", 0);
}

std::string BackendStandIn::admit(const HTTPServerRequest &request)
{
    if (fault_ == BackendFault::Draining) {
        return "draining";
    }
    if (fault_ == BackendFault::Sheds) {
        return "shed";
    }
    const FencingToken token = numberOf(request, "Goldcrestwall-Token");
    // A server that checks tokens rejects requests until it has accepted a token since its start.
    if (behaviour_.checksTokens_ && (highestToken_ == 0 || token < highestToken_)) {
        return "stale-token";
    }
    highestToken_ = std::max(highestToken_, token);
    const bool isLate = request.has("Goldcrestwall-Deadline") && unixNow() > static_cast<UnixMilliseconds>(numberOf(request, "Goldcrestwall-Deadline"));
    if (isLate || cancelledCorrelations_.contains(request.get("Goldcrestwall-Correlation", {}))) {
        return "late";
    }
    // A warm server rejects requests beyond its slots. A cold one accepts every request and becomes overloaded.
    const bool isCold = served_ < behaviour_.warmupRequests_;
    if (!isCold && running_ >= behaviour_.slots_) {
        return "shed";
    }
    if (isCold) {
        coldPeak_ = std::max(coldPeak_, running_ + 1);
        if (running_ + 1 > behaviour_.coldSlots_) {
            ++overloadCount_;
            overloadedUntil_ = monotonicNow() + OverloadDuration;
        }
    }
    return {};
}

void BackendStandIn::run(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &body)
{
    setStatusHeaders(response);
    std::unique_lock lock(mutex_);
    const std::string correlation = request.get("Goldcrestwall-Correlation", {});
    const std::string key = request.get("Goldcrestwall-Key", {});
    response.set("Goldcrestwall-Correlation", fault_ == BackendFault::OutOfOrder ? lastCorrelation_ : correlation);
    const std::string refusal = admit(request);
    if (!refusal.empty()) {
        lock.unlock();
        response.setStatus(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        response.set("Goldcrestwall-Refused", refusal);
        response.sendBuffer("", 0);
        return;
    }
    ++running_;
    startedCorrelations_.insert(correlation);
    const UnixMilliseconds startedAt = unixNow();
    const BackendFault fault = fault_;
    const Duration serviceTime = behaviour_.serviceTime_ * (fault == BackendFault::RespondsSlowly ? SlowdownFactor : 1);
    const TimePoint overloadedUntil = overloadedUntil_;
    lock.unlock();
    std::this_thread::sleep_for(std::max<Duration>(serviceTime, overloadedUntil - monotonicNow()));
    lock.lock();
    --running_;
    ++served_;
    lastCorrelation_ = correlation;
    startedCorrelations_.erase(correlation);
    const std::uint64_t count = request.getMethod() == "GET" ? counters_[key] : ++counters_[key];
    log_.push_back({request.get("Goldcrestwall-Request-Id", {}), correlation, key, numberOf(request, "Goldcrestwall-Token"), startedAt, unixNow()});
    lock.unlock();
    const std::string answer = name_ + " " + key + " " + std::to_string(count) + " " + request.getURI() + " " + body + "\n";
    if (fault == BackendFault::Unresponsive) {
        std::this_thread::sleep_for(5s);
        static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket().close();
        return;
    }
    if (fault == BackendFault::SendsOddFieldName) {
        const std::string bytes = "HTTP/1.1 200 OK\r\nGoldcrestwall-Correlation: " + correlation
            + "\r\nOdd Name: wrong\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer;
        // Bypasses the response object, so that the connection stays open.
        static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return;
    }
    if (fault == BackendFault::Truncates) {
        response.setContentLength(static_cast<std::streamsize>(answer.size()));
        response.send() << answer.substr(0, answer.size() / 2) << std::flush;
        static_cast<Poco::Net::HTTPServerRequestImpl &>(request).detachSocket().close();
        return;
    }
    response.sendBuffer(answer.data(), answer.size());
}

} // namespace Goldcrestwall
