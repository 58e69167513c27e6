// A test stand-in for the platform's key-value store. It follows the platform's published protocol and simulates faults.
#pragma once

#include <LibBase/LibBase.h>
#include <StandIns/RequestHandlers.h>

#include <Poco/Net/HTTPServer.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Goldcrestwall {

// The faults that the store can simulate.
enum class PlatformStoreFault {
    None,
    // Closes each connection without a response.
    Down,
    // Rejects each call with status 503.
    Busy,
    // Rejects each call with status 429.
    Limited,
    // Executes each call, then responds with status 500.
    Fails,
    // Executes each call, then closes the connection without a response.
    LosesAnswers,
    // Does the same for writes only.
    LosesWriteAnswers,
    // Executes each call, then responds with status 000 and keeps the connection open.
    SendsInvalidStatus,
    // Does the same with status 101.
    SwitchesProtocols,
    // Executes each call, then responds with a field whose name has a blank, and keeps the connection open.
    SendsOddFieldName,
    // Does the same with a body in an unknown transfer coding.
    SendsUnknownCoding,
    // Does the same with the body's length in a line that continues another field.
    HidesLength,
    // Responds with malformed JSON.
    SendsMalformedBytes,
    // Does not respond to any call.
    Unresponsive,
    // Responds to no read and no watch, but to all other calls.
    IgnoresReads,
    // Lists an item without a key and a revision before all others.
    AddsUnreadableItem,
    // Rejects each watch, because its changes have been discarded.
    DiscardsHistory,
};

// What becomes of the leases that a copy of the store's content has, when the store comes back from it.
enum class RestoredLeases {
    // They have their whole lifetime again.
    Renewed,
    // They have ended, and the items attached to them are removed.
    Ended,
};

// Stores items in memory, with one revision counter, leases, and a history for watches. Thread-safe.
//
// It can come back from an older copy of its content: revisions and lease numbers go back and are given out again, and a watch after a revision that it does
// not have gets 410. Every response states the era, once there is one.
class PlatformStoreStandIn
{
public:
    // Listens on 127.0.0.1; port 0 selects any free port.
    explicit PlatformStoreStandIn(std::uint16_t port);
    ~PlatformStoreStandIn();
    PlatformStoreStandIn(const PlatformStoreStandIn &) = delete;
    PlatformStoreStandIn &operator=(const PlatformStoreStandIn &) = delete;

    std::string address() const;
    void setFault(PlatformStoreFault fault);
    // From now on, changes are hidden from watches until the history is discarded.
    void suppressWatchEvents();
    // Closes the connections of all waiting watches. Keeps the history until `discardHistory` is called.
    void abortWatches();
    void discardHistory();
    // Ends all leases immediately, as if they had expired.
    void expireAllLeases();
    // States this era in every response from now on.
    void setEra(std::uint64_t era);
    // 0 if none is stated.
    std::uint64_t era() const;
    // Takes a copy of the present content, with its leases and history, from which the store can come back later.
    void takeCopy();
    // Comes back from the copy that was taken last, which is kept, in the next era. Waiting watches are cut. Set a fault before and end it afterwards to have
    // the store away in between; nothing else writes meanwhile if that fault keeps all calls out.
    void restoreCopy(RestoredLeases leases = RestoredLeases::Renewed);

    // Writes a key without a condition, like the operator or a backend server. Returns the new revision.
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    // Returns the value, or an empty string if the key does not exist.
    std::string get(const std::string &key) const;
    std::uint64_t revision() const;
    std::uint64_t callCount() const
    {
        return calls_;
    }
    // Number of watches that are waiting for a change.
    std::uint64_t waitingWatches() const;

    // Called by the HTTP request handler.
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    struct Item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct Change
    {
        std::string key_;
        Item item_;
        bool isRemoved_ = false;
        // Made while changes were hidden from watches.
        bool isHidden_ = false;
    };

    struct Lease
    {
        TimePoint endsAt_;
        Duration lifetime_ = Duration::zero();
    };

    // All that the store keeps.
    struct Content
    {
        std::map<std::string, Item> items_;
        std::deque<Change> history_;
        // Changes up to this revision have been discarded from the history.
        std::uint64_t discardedUntil_ = 0;
        std::uint64_t revision_ = 10;
        std::map<std::uint64_t, Lease> leases_;
        std::uint64_t lastLease_ = 100;
    };

    struct Reply
    {
        int status_ = 200;
        std::string body_;
    };

    Reply answer(const std::string &method, const std::string &path, const std::map<std::string, std::string> &query, const std::string &body);
    Reply readKey(const std::string &key);
    Reply readRange(const std::string &prefix, const std::string &after);
    Reply watch(const std::string &prefix, std::uint64_t after, Duration wait);
    Reply transact(const std::string &body);
    Reply grantLease(const std::string &body);
    Reply renewLease(std::uint64_t id);
    Reply revokeLease(std::uint64_t id);
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void expireLeases();
    void runExpiryLoop();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Content content_;
    Content copy_;
    std::uint64_t era_ = 0;
    std::uint64_t watchAborts_ = 0;
    std::uint64_t waitingWatches_ = 0;
    std::uint64_t discards_ = 0;
    bool areWatchEventsSuppressed_ = false;
    bool isStopping_ = false;
    PlatformStoreFault fault_ = PlatformStoreFault::None;
    std::atomic<std::uint64_t> calls_ = 0;
    std::shared_ptr<RunningRequests> runningRequests_ = std::make_shared<RunningRequests>();
    std::unique_ptr<Poco::Net::HTTPServer> server_;
    std::unique_ptr<std::thread> expiryThread_;
};

} // namespace Goldcrestwall
