// Passes bytes between two sockets and simulates faults of the network between them.
#include "LoopbackProxy.h"

// The coroutine headers of the packaged Boost.Asio use std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <set>
#include <thread>

namespace Goldcrestwall {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

// How often a direction that is held back looks whether it may go on.
constexpr auto HoldCheckInterval = std::chrono::milliseconds(2);
// The end of a connection that has been held back is passed on this long after its last bytes, so that a reset does not take them away.
constexpr auto EndDelayAfterHold = std::chrono::milliseconds(50);
constexpr std::size_t ReadSize = 16384;

Tcp::endpoint parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

// Indexes of the two directions.
constexpr std::size_t ToTarget = 0;
constexpr std::size_t FromTarget = 1;
constexpr std::size_t DirectionCount = 2;

bool covers(ProxyDirection direction, std::size_t index)
{
    return direction == ProxyDirection::Both || (direction == ProxyDirection::ToTarget) == (index == ToTarget);
}

// Makes the next close of the socket a reset.
void resetOnClose(Tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

} // namespace

class LoopbackProxy::Implementation
{
public:
    explicit Implementation(const std::string &targetAddress)
        : target_(parseAddress(targetAddress))
        , acceptor_(loop_, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
    {
        asio::co_spawn(loop_, accept(), asio::detached);
        thread_ = std::thread([this] {
            loop_.run();
        });
    }

    ~Implementation()
    {
        loop_.stop();
        thread_.join();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    // Runs a function in the proxy's thread and waits for it, so that its effect has begun when the caller goes on.
    template<typename Function>
    auto runInLoop(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        asio::post(loop_, std::move(task));
        return result.get();
    }

    struct Connection
    {
        explicit Connection(Tcp::socket caller)
            : caller_(std::move(caller))
            , target_(caller_.get_executor())
        {
        }

        void reset()
        {
            isEnded_ = true;
            ErrorCode ignored;
            resetOnClose(caller_);
            resetOnClose(target_);
            caller_.close(ignored);
            target_.close(ignored);
        }

        bool isSilent() const
        {
            return isSilent_[ToTarget] || isSilent_[FromTarget];
        }

        Tcp::socket caller_;
        Tcp::socket target_;
        std::array<bool, DirectionCount> isSilent_{};
        std::array<bool, DirectionCount> isHeld_{};
        std::array<bool, DirectionCount> wasHeld_{};
        bool isEnded_ = false;
    };

    void silenceOpenConnections(ProxyDirection direction)
    {
        for (const auto &connection : connections_) {
            for (std::size_t index = 0; index < DirectionCount; ++index) {
                connection->isSilent_[index] = connection->isSilent_[index] || covers(direction, index);
            }
        }
    }

    void holdOpenConnections(ProxyDirection direction)
    {
        for (const auto &connection : connections_) {
            for (std::size_t index = 0; index < DirectionCount; ++index) {
                connection->isHeld_[index] = connection->isHeld_[index] || covers(direction, index);
            }
        }
    }

    void resume()
    {
        isHeld_ = {};
        for (const auto &connection : connections_) {
            connection->isHeld_ = {};
        }
    }

    void hold(ProxyDirection direction)
    {
        for (std::size_t index = 0; index < DirectionCount; ++index) {
            isHeld_[index] = isHeld_[index] || covers(direction, index);
        }
    }

    void resetOpenConnections()
    {
        const auto connections = connections_;
        for (const auto &connection : connections) {
            connection->reset();
        }
    }

    const std::string &address() const
    {
        return address_;
    }

    std::size_t openConnectionCount() const
    {
        return connections_.size();
    }

    void setDelay(Duration delay)
    {
        delay_ = delay;
    }

    void setRefusing(bool isRefusing)
    {
        isRefusing_ = isRefusing;
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            ErrorCode error;
            Tcp::socket caller = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            auto connection = std::make_shared<Connection>(std::move(caller));
            if (isRefusing_) {
                connection->reset();
                continue;
            }
            asio::co_spawn(loop_, serve(std::move(connection)), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<Connection> connection)
    {
        connections_.insert(connection);
        ErrorCode error;
        co_await connection->target_.async_connect(target_, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            connection->reset();
            connections_.erase(connection);
            co_return;
        }
        connection->caller_.set_option(Tcp::no_delay(true), error);
        connection->target_.set_option(Tcp::no_delay(true), error);
        asio::co_spawn(loop_, pass(connection, ToTarget), asio::detached);
        co_await pass(connection, FromTarget);
    }

    asio::awaitable<void> pass(std::shared_ptr<Connection> connection, std::size_t direction)
    {
        Tcp::socket &source = direction == ToTarget ? connection->caller_ : connection->target_;
        Tcp::socket &sink = direction == ToTarget ? connection->target_ : connection->caller_;
        std::array<char, ReadSize> bytes{};
        ErrorCode error;
        for (;;) {
            const std::size_t size = co_await source.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            co_await awaitTurn(*connection, direction);
            if (connection->isSilent_[direction]) {
                // Bytes are read and dropped, and the other end does not learn that this one has closed.
                if (error) {
                    break;
                }
                continue;
            }
            if (error) {
                co_await awaitEndAfterHold(*connection, direction);
                end(*connection, error);
                break;
            }
            co_await asio::async_write(sink, asio::buffer(bytes.data(), size), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                end(*connection, error);
                break;
            }
        }
        if (connection->isEnded_ || !connection->isSilent()) {
            connections_.erase(connection);
        }
    }

    // Waits out the delay and, while this direction is held back, until it is not.
    asio::awaitable<void> awaitTurn(Connection &connection, std::size_t direction)
    {
        asio::steady_timer timer(loop_);
        ErrorCode ignored;
        if (delay_ > Duration::zero()) {
            timer.expires_after(std::chrono::microseconds(delay_));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        while ((isHeld_[direction] || connection.isHeld_[direction]) && !connection.isEnded_) {
            connection.wasHeld_[direction] = true;
            timer.expires_after(HoldCheckInterval);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    asio::awaitable<void> awaitEndAfterHold(const Connection &connection, std::size_t direction)
    {
        if (connection.wasHeld_[direction]) {
            asio::steady_timer timer(loop_, EndDelayAfterHold);
            ErrorCode ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    // Ends both sides as the one that has ended did: an orderly end is passed on as such, anything else as a reset.
    static void end(Connection &connection, const ErrorCode &error)
    {
        if (connection.isEnded_ || connection.isSilent()) {
            return;
        }
        if (error != asio::error::eof) {
            connection.reset();
            return;
        }
        connection.isEnded_ = true;
        ErrorCode ignored;
        connection.caller_.close(ignored);
        connection.target_.close(ignored);
    }

    asio::io_context loop_;
    Tcp::endpoint target_;
    Tcp::acceptor acceptor_;
    std::string address_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::array<bool, DirectionCount> isHeld_{};
    Duration delay_ = Duration::zero();
    bool isRefusing_ = false;
    std::thread thread_;
};

LoopbackProxy::LoopbackProxy(const std::string &targetAddress)
    : implementation_(std::make_unique<Implementation>(targetAddress))
{
}

LoopbackProxy::~LoopbackProxy() = default;

std::string LoopbackProxy::address() const
{
    return implementation_->address();
}

void LoopbackProxy::silenceOpenConnections(ProxyDirection direction)
{
    implementation_->runInLoop([&] {
        implementation_->silenceOpenConnections(direction);
    });
}

void LoopbackProxy::holdOpenConnections(ProxyDirection direction)
{
    implementation_->runInLoop([&] {
        implementation_->holdOpenConnections(direction);
    });
}

void LoopbackProxy::hold(ProxyDirection direction)
{
    implementation_->runInLoop([&] {
        implementation_->hold(direction);
    });
}

void LoopbackProxy::resume()
{
    implementation_->runInLoop([&] {
        implementation_->resume();
    });
}

void LoopbackProxy::setDelay(Duration delay)
{
    implementation_->runInLoop([&] {
        implementation_->setDelay(delay);
    });
}

void LoopbackProxy::resetOpenConnections()
{
    implementation_->runInLoop([&] {
        implementation_->resetOpenConnections();
    });
}

void LoopbackProxy::setRefusing(bool isRefusing)
{
    implementation_->runInLoop([&] {
        implementation_->setRefusing(isRefusing);
    });
}

std::size_t LoopbackProxy::openConnectionCount() const
{
    return implementation_->runInLoop([&] {
        return implementation_->openConnectionCount();
    });
}

} // namespace Goldcrestwall
