// Passes the requests of a server of POCO on to a stand-in, and lets the stand-in wait for them.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>

namespace Goldcrestwall {

// The requests that a stand-in is handling. POCO's servers stop without waiting for them, so a stand-in that ended at once would be used afterwards.
class RunningRequests
{
public:
    // Returns false if no further requests are handled.
    bool tryBegin()
    {
        const std::lock_guard lock(mutex_);
        if (isClosed_) {
            return false;
        }
        ++count_;
        return true;
    }

    void end()
    {
        const std::lock_guard lock(mutex_);
        --count_;
        changed_.notify_all();
    }

    // From now on no further requests are handled. Waits until those that are have ended.
    void closeAndWait()
    {
        std::unique_lock lock(mutex_);
        isClosed_ = true;
        changed_.wait(lock, [this] {
            return count_ == 0;
        });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t count_ = 0;
    bool isClosed_ = false;
};

// Calls `handle` of a stand-in.
template<typename StandIn>
class RequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    RequestHandler(StandIn &standIn, std::shared_ptr<RunningRequests> running)
        : standIn_(standIn)
        , running_(std::move(running))
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        if (!running_->tryBegin()) {
            return;
        }
        const std::unique_ptr<RunningRequests, End> end(running_.get());
        standIn_.handle(request, response);
    }

private:
    struct End
    {
        void operator()(RunningRequests *running) const
        {
            running->end();
        }
    };

    StandIn &standIn_;
    std::shared_ptr<RunningRequests> running_;
};

// The connections of a server share it, and may outlive the stand-in.
template<typename StandIn>
class RequestHandlers final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    RequestHandlers(StandIn &standIn, std::shared_ptr<RunningRequests> running)
        : standIn_(standIn)
        , running_(std::move(running))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new RequestHandler<StandIn>(standIn_, running_);
    }

private:
    StandIn &standIn_;
    std::shared_ptr<RunningRequests> running_;
};

} // namespace Goldcrestwall
