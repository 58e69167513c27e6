// Serves callers over HTTP/1.1.
#pragma once

#include <LibBackend/LibBackend.h>
#include <LibRouter/LibRouter.h>

#include <Poco/Net/HTTPServer.h>

#include <atomic>
#include <functional>
#include <memory>

namespace Goldcrestwall {

// A caller's request, taken from the path "/CUSTOMER/SERVICE/PATH" and the headers described in docs/operators/CALLERS.md.
struct CallerRequest
{
    AccessRequest access_;
    std::string key_;
    // Empty if the caller sent none.
    RequestId id_;
    Idempotence idempotence_ = Idempotence::NotIdempotent;
    Duration timeout_{};
    HttpRequestContent content_;

    auto operator<=>(const CallerRequest &) const = default;
};

// What is sent to a caller: the response of the backend server, or the verdict on a request without one.
struct CallerAnswer
{
    std::optional<HttpResponseContent> content_;
    Verdict verdict_;
    // Details for the error text: the terms that rejected the request, or the last server attempted.
    std::string detail_;
};

// The HTTP status for a verdict.
int statusOf(const Verdict &verdict);

// Limits of the caller interface.
struct CallerLimits
{
    std::size_t maxBodyBytes_ = 1024 * 1024;
    Duration defaultTimeout_ = 2s;
    Duration maxTimeout_ = 60s;
    int maxConnections_ = 512;

    auto operator<=>(const CallerLimits &) const = default;
};

// Parses a request; the body is read separately. Errors: BadRequest.
Result<CallerRequest> parseCallerRequest(const Poco::Net::HTTPRequest &request, const CallerLimits &limits);

// Listens for callers and calls the handler for each request, with one thread per connection.
class CallerServer
{
public:
    using Handler = std::function<CallerAnswer(const CallerRequest &request)>;

    // Errors: InvalidSetting if the address cannot be bound.
    static Result<std::unique_ptr<CallerServer>> create(const std::string &address, CallerLimits limits, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    std::uint16_t port() const;
    // Stops accepting connections and requests; requests in flight continue.
    void stopAccepting();
    // Number of requests in flight.
    int inFlightRequests() const
    {
        return *inFlight_;
    }

private:
    CallerServer(const Poco::Net::ServerSocket &socket, CallerLimits limits, Handler handler);

    std::shared_ptr<std::atomic<int>> inFlight_;
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Goldcrestwall
