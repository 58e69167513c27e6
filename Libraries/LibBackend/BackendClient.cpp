// Backend client: connection pool, requests, grants, probes and cancellations.
#include <LibBackend/BackendClient.h>

#include <LibHttp/LibHttp.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>

namespace Goldcrestwall {

namespace {

// Shorter than the idle time-outs of servers and intermediaries, so that no request is written to a connection about to be closed.
constexpr Duration MaxIdleTime = 5s;
// Share of the server's connection limit reserved for grants, probes and cancellations.
constexpr std::uint32_t ReservedConnections = 1;
constexpr Duration ConnectTimeout = 250ms;
constexpr const char *GrantPath = "/.goldcrestwall/grant";
constexpr const char *HealthPath = "/.goldcrestwall/health";
constexpr const char *CancelPath = "/.goldcrestwall/cancel";
constexpr std::uint64_t MaxResponseBytes = 16U << 20U;

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(std::max<Duration>(duration, 1ms).count());
}

// The value of a header field; empty if the response has none of this name.
std::string valueOf(const Gateway::HttpResponse &response, const char *name)
{
    const auto value = response[name];
    return {value.data(), value.size()};
}

ServerContact readContact(const Gateway::HttpResponse &response)
{
    return {valueOf(response, "Goldcrestwall-Boot-Id"), valueOf(response, "Goldcrestwall-State") == "draining"};
}

// Classifies a complete response. Only the Goldcrestwall-Refused header proves that the server rejected the request before running it.
AttemptResult classify(const Gateway::HttpResponse &response)
{
    const std::string rejection = valueOf(response, "Goldcrestwall-Refused");
    if (rejection == "shed") {
        return AttemptResult::Shed;
    }
    if (rejection == "stale-token") {
        return AttemptResult::StaleToken;
    }
    if (rejection == "draining") {
        return AttemptResult::Draining;
    }
    if (rejection == "late") {
        return AttemptResult::Late;
    }
    return AttemptResult::Answered;
}

void fillRequest(Poco::Net::HTTPRequest &message, const HttpRequestContent &request, const BackendCall &call)
{
    for (const HeaderField &field : request.headers_) {
        message.add(field.name_, field.value_);
    }
    message.set("Goldcrestwall-Correlation", call.correlation_);
    message.set("Goldcrestwall-Token", std::to_string(call.token_));
    message.set("Goldcrestwall-Deadline", std::to_string(call.deadline_));
    if (!call.id_.isEmpty()) {
        message.set("Goldcrestwall-Request-Id", call.id_.value_);
    }
    if (!call.key_.empty()) {
        message.set("Goldcrestwall-Key", call.key_);
    }
    message.setContentLength(static_cast<std::streamsize>(request.body_.size()));
    message.setKeepAlive(true);
}

HttpResponseContent readHead(const Gateway::HttpResponse &response)
{
    HttpResponseContent answer;
    answer.status_ = static_cast<int>(response.result_int());
    for (const auto &field : response) {
        const std::string name(field.name_string().data(), field.name_string().size());
        if (!isHopByHopHeader(name) && !isRouterHeader(name)) {
            answer.headers_.push_back({name, std::string(field.value().data(), field.value().size())});
        }
    }
    return answer;
}

} // namespace

BackendClient::BackendClient(std::string address, std::uint32_t maxConnections)
    : address_(std::move(address))
    , maxConnections_(maxConnections)
{
}

BackendReply BackendClient::send(const HttpRequestContent &request, const BackendCall &call)
{
    BackendReply reply;
    reply.result_ = AttemptResult::NotWritten;
    const TimePoint start = monotonicNow();
    AcquiredSession acquired = acquire(start);
    std::unique_ptr<Session> session = std::move(acquired.session_);
    if (!session) {
        return reply;
    }
    bool isReusable = false;
    try {
        // 1. A new connection may lead to a server that has restarted and is cold, so query its boot identifier first. A restart breaks
        // pooled connections, so these need no such check.
        session->setTimeout(toTimespan(ConnectTimeout), toTimespan(call.timeout_), toTimespan(call.timeout_));
        if (acquired.isNew_) {
            reply.contact_ = exchange(*session, HealthPath, {}).contact_;
            const bool isExpectedBoot = call.bootId_.empty() || reply.contact_.bootId_ == call.bootId_;
            if (!isExpectedBoot) {
                session->reset();
                release(nullptr, monotonicNow());
                return reply;
            }
        }
        // 2. Write the request. Until the first byte is written, it has certainly not run.
        Poco::Net::HTTPRequest message(request.method_, request.path_, Poco::Net::HTTPMessage::HTTP_1_1);
        fillRequest(message, request, call);
        std::ostream &output = session->sendRequest(message);
        reply.result_ = AttemptResult::Lost;
        output << request.body_ << std::flush;
        // 3. Read the response head. A response with another correlation belongs to an earlier request, so the connection is not reused.
        const bool hasBody = request.method_ != Poco::Net::HTTPRequest::HTTP_HEAD;
        Gateway::SessionReader reader(*session, hasBody ? Gateway::ExpectedBody::Any : Gateway::ExpectedBody::None, MaxResponseBytes);
        reader.readHead();
        const bool isCorrelated = valueOf(reader.response(), "Goldcrestwall-Correlation") == call.correlation_;
        if (isCorrelated && reader.announcedBodyLength()) {
            // 4. Read the body. The connection may be closed early.
            reply.contact_ = readContact(reader.response());
            reply.result_ = AttemptResult::Truncated;
            reply.answer_ = readHead(reader.response());
            reader.readBody();
            reply.answer_.body_ = reader.response().body();
            reply.result_ = classify(reader.response());
            isReusable = reader.isReusable();
        }
    } catch (const Poco::Exception &) {
        // `reply.result_` records how far the exchange got.
    }
    if (!isReusable) {
        session->reset();
    }
    release(isReusable ? std::move(session) : nullptr, monotonicNow());
    return reply;
}

BackendClient::AcquiredSession BackendClient::acquire(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    while (!idle_.empty()) {
        PooledSession pooled = std::move(idle_.back());
        idle_.pop_back();
        if (now - pooled.idleSince_ < MaxIdleTime) {
            return {std::move(pooled.session_), false};
        }
        --openCount_;
    }
    if (openCount_ + ReservedConnections >= std::max(maxConnections_, ReservedConnections + 1)) {
        return {};
    }
    ++openCount_;
    auto session = std::make_unique<Session>(Poco::Net::SocketAddress(address_));
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(Poco::Timespan(std::chrono::duration_cast<Duration>(2 * MaxIdleTime).count()));
    return {std::move(session), true};
}

void BackendClient::release(std::unique_ptr<Session> session, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (session) {
        idle_.push_back({std::move(session), now});
    } else {
        --openCount_;
    }
}

ControlReply BackendClient::exchange(Session &session, const std::string &path, const std::vector<HeaderField> &headers)
{
    Poco::Net::HTTPRequest message(Poco::Net::HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HeaderField &field : headers) {
        message.set(field.name_, field.value_);
    }
    message.setContentLength(0);
    message.setKeepAlive(true);
    session.sendRequest(message);
    Gateway::SessionReader reader(session, Gateway::ExpectedBody::Any, MaxResponseBytes);
    reader.readHead();
    reader.readBody();
    const auto &response = reader.response();
    ControlReply reply;
    reply.isAnswered_ = true;
    reply.isAccepted_ = response.result() == Gateway::http::status::ok;
    reply.contact_ = readContact(response);
    const std::string running = valueOf(response, "Goldcrestwall-Running");
    const bool isNumber = !running.empty() && running.size() < 9 && running.find_first_not_of("0123456789") == std::string::npos;
    reply.running_ = isNumber ? static_cast<std::uint32_t>(std::stoul(running)) : 1;
    return reply;
}

ControlReply BackendClient::control(const std::string &path, const std::vector<HeaderField> &headers, Duration timeout)
{
    try {
        Session session{Poco::Net::SocketAddress(address_)};
        session.setTimeout(toTimespan(timeout), toTimespan(timeout), toTimespan(timeout));
        return exchange(session, path, headers);
    } catch (const Poco::Exception &) {
        // Without a complete response, the state of the server is unknown.
        return {};
    }
}

ControlReply BackendClient::grant(FencingToken token, Duration timeout)
{
    return control(GrantPath, {{"Goldcrestwall-Token", std::to_string(token)}}, timeout);
}

ControlReply BackendClient::probe(Duration timeout)
{
    return control(HealthPath, {}, timeout);
}

bool BackendClient::cancel(const std::string &correlation, Duration timeout)
{
    return control(CancelPath, {{"Goldcrestwall-Correlation", correlation}}, timeout).isAccepted_;
}

} // namespace Goldcrestwall
