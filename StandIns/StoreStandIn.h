// A test stand-in for the platform's key-value service. It implements the part of the etcd v3 JSON gateway that the router uses, and
// simulates faults.
#pragma once

#include <LibBase/LibBase.h>
#include <StandIns/RequestHandlers.h>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace Goldcrestwall {

// The faults that the service can simulate.
enum class StoreFault {
    None,
    // Accepts connections and responds with an error status.
    Down,
    // Responds after a delay.
    Slow,
    // Executes each call, then closes the connection without a response.
    LosesAnswers,
};

// Stores keys in memory, with their versions and leases. Thread-safe.
class StoreStandIn
{
public:
    // Listens on 127.0.0.1; port 0 selects any free port.
    explicit StoreStandIn(std::uint16_t port);
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    std::string address() const;
    void setFault(StoreFault fault, Duration delay = {});

    // Writes a key directly, like the platform itself.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    std::string get(const std::string &key) const;
    Version versionOf(const std::string &key) const;

    std::uint64_t callCount() const
    {
        return calls_;
    }

    // Called for each request.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    struct Entry
    {
        std::string value_;
        Version version_ = 0;
        std::int64_t lease_ = 0;
    };

    // Processes one gateway call. Returns the response body, which is empty after an error, or nothing if the connection is to be closed without a
    // response.
    std::optional<std::string> execute(const std::string &path, const std::string &body);
    Poco::JSON::Object::Ptr range(const Poco::JSON::Object &request);
    Poco::JSON::Object::Ptr transact(const Poco::JSON::Object &request);
    Poco::JSON::Object::Ptr write(const Poco::JSON::Object &request);
    Poco::JSON::Object::Ptr grantLease(const Poco::JSON::Object &request);
    Poco::JSON::Object::Ptr keepAlive(const Poco::JSON::Object &request);
    void expireLeases();

    mutable std::mutex mutex_;
    std::map<std::string, Entry> entries_;
    std::map<std::int64_t, std::pair<TimePoint, Duration>> leases_;
    std::int64_t lastLease_ = 0;
    StoreFault fault_ = StoreFault::None;
    Duration delay_{};
    std::atomic<std::uint64_t> calls_ = 0;
    std::shared_ptr<RunningRequests> runningRequests_ = std::make_shared<RunningRequests>();
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Goldcrestwall
