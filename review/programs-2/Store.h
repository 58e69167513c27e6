// Stand-in for the platform's key-value store, with the drill in which it comes back from a copy.
#pragma once

#include "Connections.h"
#include "Time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace Review {

// Keeps items, leases and the history of changes in memory, with one revision counter. Thread-safe.
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::string address() const
    {
        return listener_->address();
    }
    // Write without a condition, as the operator and the targets do. Return the new revision, or 0 while the store is away.
    std::uint64_t put(const std::string &key, const std::string &value);
    std::uint64_t remove(const std::string &key);
    std::string get(const std::string &key) const;
    std::uint64_t revision() const;

    // The drill. Keeps a copy of the present state, with its leases.
    void takeCopy();
    // From now on every connection is closed without an answer. Leases pause.
    void goAway();
    // The store is back, with the state of the copy and the next era. Leases of the copy have their whole time again.
    void comeBackFromCopy();

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
    };

    struct Lease
    {
        TimePoint endsAt_;
        Duration lifetime_ = Duration::zero();
    };

    struct State
    {
        std::uint64_t revision_ = 10;
        std::map<std::string, Item> items_;
        std::map<std::uint64_t, Lease> leases_;
        std::deque<Change> history_;
    };

    Reply handle(const Request &request);
    Reply answer(const Request &request);
    Reply readKey(const std::string &key) const;
    Reply readRange(const std::string &prefix, const std::string &after) const;
    Reply watch(const std::string &prefix, std::uint64_t after, Duration wait);
    Reply transact(const std::string &body);
    Reply grantLease(const std::string &body);
    Reply renewLease(std::uint64_t id);
    Reply endLease(std::uint64_t id);
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void expireLeases();
    void runExpiry();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    State state_;
    State copy_;
    // Not given out again, although revisions are.
    std::uint64_t lastLease_ = 100;
    std::uint64_t era_ = 1;
    // Counts the times that the store went away; a watch that waited then gets no answer.
    std::uint64_t absences_ = 0;
    bool isAway_ = false;
    bool isStopping_ = false;
    std::unique_ptr<HttpListener> listener_;
    std::thread expiry_;
};

} // namespace Review
