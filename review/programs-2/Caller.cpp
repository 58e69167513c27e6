// Calls of clients.
#include "Caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace Review {

std::string makeRequestId()
{
    static std::atomic<std::uint64_t> next = 1;
    return "q" + std::to_string(next++);
}

CallerAnswer call(const std::string &address, const CallerRequest &request)
{
    CallerAnswer answer;
    answer.requestId_ = makeRequestId();
    answer.sentAt_ = Clock::now();
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(5, 0));
        Poco::Net::HTTPRequest head(request.method_, request.path_, "HTTP/1.1");
        head.setHost(request.host_);
        head.set("Goldcrestwall-Request-Id", answer.requestId_);
        head.set("Goldcrestwall-Request-Deadline", std::to_string(request.deadlineMs_));
        if (request.key_) {
            head.set("Goldcrestwall-Shard-Key", std::to_string(*request.key_));
        }
        if (!request.body_.empty()) {
            head.setContentLength(static_cast<std::streamsize>(request.body_.size()));
        }
        session.sendRequest(head) << request.body_;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        std::string body;
        Poco::StreamCopier::copyToString(stream, body);
        answer.status_ = response.getStatus();
        answer.body_ = std::move(body);
        answer.isSigned_ = response.has("Goldcrestwall-Server-Signature");
    } catch (const Poco::Exception &) {
        answer.status_ = 0;
    }
    return answer;
}

int fetchStatus(const std::string &address, const std::string &path)
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus();
    } catch (const Poco::Exception &) {
        return 0;
    }
}

Callers::~Callers()
{
    stop();
}

void Callers::add(Step step, Duration pause)
{
    threads_.emplace_back([this, step = std::move(step), pause] {
        for (std::uint32_t number = 0; !isStopped_; ++number) {
            step(number);
            std::this_thread::sleep_for(pause);
        }
    });
}

void Callers::stop()
{
    isStopped_ = true;
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

} // namespace Review
