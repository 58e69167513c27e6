// HTTP servers of the stand-ins.
#include "Connections.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <exception>
#include <iostream>
#include <utility>

namespace Review {

namespace {

constexpr int MaxThreads = 400;

Poco::ThreadPool &threadPool()
{
    static Poco::ThreadPool threads(4, MaxThreads);
    return threads;
}

class RequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit RequestHandler(HttpListener::Handler handler)
        : handler_(std::move(handler))
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        Reply reply;
        try {
            reply = handler_({request.getMethod(), request.getURI(), std::move(body), request});
        } catch (const std::exception &error) {
            std::cerr << "stand-in: " << error.what() << '\n';
            reply = {0};
        }
        if (reply.status_ == 0) {
            static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
            return;
        }
        if (!reply.rawBytes_.empty()) {
            static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().sendBytes(reply.rawBytes_.data(), static_cast<int>(reply.rawBytes_.size()));
            return;
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status_));
        for (const auto &[name, value] : reply.headers_) {
            response.set(name, value);
        }
        response.sendBuffer(reply.body_.data(), reply.body_.size());
    }

private:
    HttpListener::Handler handler_;
};

class RequestHandlers final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit RequestHandlers(HttpListener::Handler handler)
        : handler_(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new RequestHandler(handler_);
    }

private:
    HttpListener::Handler handler_;
};

} // namespace

HttpListener::HttpListener(Handler handler)
{
    auto *parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(MaxThreads);
    parameters->setMaxQueued(MaxThreads);
    parameters->setKeepAliveTimeout(Poco::Timespan(10, 0));
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    server_ = std::make_unique<Poco::Net::HTTPServer>(new RequestHandlers(std::move(handler)), threadPool(), socket, parameters);
    server_->start();
}

HttpListener::~HttpListener()
{
    stop();
}

std::string HttpListener::address() const
{
    return "127.0.0.1:" + std::to_string(server_->port());
}

void HttpListener::stop()
{
    server_->stopAll(true);
}

} // namespace Review
