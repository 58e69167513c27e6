// HTTP servers of the stand-ins.
#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Review {

// What a stand-in answers.
struct Reply
{
    // 0 closes the connection without an answer.
    int status_ = 200;
    std::map<std::string, std::string> headers_ = {};
    std::string body_ = {};
    // Sent as they are in place of the answer, if there are any; the connection stays open.
    std::string rawBytes_ = {};
};

// A request as a stand-in gets it.
struct Request
{
    std::string method_;
    // Path with query.
    std::string target_;
    std::string body_;
    const Poco::Net::HTTPServerRequest &head_;
};

// Serves one stand-in on a free port of 127.0.0.1, with a thread for each connection. Must be stopped before what the handler uses ends.
class HttpListener
{
public:
    using Handler = std::function<Reply(const Request &)>;

    explicit HttpListener(Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    std::string address() const;
    void stop();

private:
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Review
