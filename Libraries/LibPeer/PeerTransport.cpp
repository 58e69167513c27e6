// Peer transport: event loop over epoll, connection management and message counters.
#include <LibPeer/PeerTransport.h>

#include <LibPeer/PeerConnection.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <list>

namespace Goldcrestwall {

namespace {

constexpr int ListenBacklog = 256;
constexpr int TickMilliseconds = 20;
constexpr int MaxEvents = 64;
// Time-out of messages for which no response is expected.
constexpr Duration SendTimeout = 2s;
// After a connection has failed or closed, no new connection to its address is opened for this long.
constexpr Duration ReconnectDelay = 50ms;

void setNoDelay(int socket)
{
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

int openListener(const Poco::Net::SocketAddress &address)
{
    const int listener = ::socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (::bind(listener, address.addr(), address.length()) != 0 || ::listen(listener, ListenBacklog) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

} // namespace

// The event loop of a transport, with its thread and connections.
class PeerTransport::EventLoop
{
public:
    EventLoop(int listener, PeerTimeouts timeouts, Handler handler)
        : listener_(listener)
        , wakeup_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
        , epoll_(::epoll_create1(EPOLL_CLOEXEC))
        , timeouts_(timeouts)
        , handler_(std::move(handler))
    {
        updateEpoll(listener_, EPOLLIN, EPOLL_CTL_ADD);
        updateEpoll(wakeup_, EPOLLIN, EPOLL_CTL_ADD);
        thread_ = std::thread([this] {
            run();
        });
    }

    ~EventLoop()
    {
        isStopping_ = true;
        wake();
        thread_.join();
        for (auto &[socket, connection] : connections_) {
            connection->failAll();
        }
        connections_.clear();
        ::close(epoll_);
        ::close(wakeup_);
        ::close(listener_);
    }
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs a task on the thread of the event loop.
    void post(std::function<void()> task)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(mutex_);
            wasEmpty = tasks_.empty();
            tasks_.push_back(std::move(task));
        }
        if (wasEmpty) {
            wake();
        }
    }

    void startCall(const std::string &address, OutboundCall call)
    {
        PeerConnection *connection = connectionTo(address, monotonicNow());
        if (!connection) {
            call.callback_({std::nullopt, false});
            return;
        }
        ++sentMessages_;
        connection->submit(std::move(call));
        markDirty(connection->socket());
    }

    std::uint16_t port() const
    {
        sockaddr_storage address{};
        socklen_t length = sizeof(address);
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
        return Poco::Net::SocketAddress(reinterpret_cast<sockaddr *>(&address), length).port();
    }

    PeerCounters counters() const
    {
        return {sentBytes_, receivedBytes_, sentMessages_, receivedMessages_};
    }

private:
    void wake() const
    {
        const std::uint64_t one = 1;
        // If the write fails because the counter is full, the event loop is woken already.
        [[maybe_unused]] const ssize_t written = ::write(wakeup_, &one, sizeof(one));
    }

    void updateEpoll(int socket, std::uint32_t events, int operation) const
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = socket;
        ::epoll_ctl(epoll_, operation, socket, &event);
    }

    void run()
    {
        std::array<epoll_event, MaxEvents> events{};
        TimePoint nextTick;
        while (!isStopping_) {
            const int count = ::epoll_wait(epoll_, events.data(), MaxEvents, TickMilliseconds);
            const TimePoint now = monotonicNow();
            for (int index = 0; index < count; ++index) {
                handleEvent(events[static_cast<std::size_t>(index)], now);
            }
            runTasks();
            flushDirty();
            if (now >= nextTick) {
                nextTick = now + std::chrono::milliseconds(TickMilliseconds);
                tick(now);
                flushDirty();
            }
        }
    }

    void handleEvent(const epoll_event &event, TimePoint now)
    {
        if (event.data.fd == listener_) {
            acceptConnections(now);
            return;
        }
        if (event.data.fd == wakeup_) {
            std::uint64_t value = 0;
            [[maybe_unused]] const ssize_t size = ::read(wakeup_, &value, sizeof(value));
            return;
        }
        const auto position = connections_.find(event.data.fd);
        if (position == connections_.end()) {
            return;
        }
        const bool isReadable = (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0;
        if (isReadable && !position->second->handleReadable(now)) {
            closeConnection(event.data.fd, now);
            return;
        }
        markDirty(event.data.fd);
    }

    void acceptConnections(TimePoint now)
    {
        while (true) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            setNoDelay(socket);
            addConnection(socket, ConnectionSide::Server, now);
        }
    }

    PeerConnection *addConnection(int socket, ConnectionSide side, TimePoint now)
    {
        const std::uint64_t serial = ++lastSerial_;
        auto handler = [this, socket, serial](std::int32_t stream, PeerChannel channel, std::string body) {
            ++receivedMessages_;
            handler_(channel, std::move(body), [this, socket, serial, stream](std::string response) {
                post([this, socket, serial, stream, response = std::move(response)]() mutable {
                    respond(socket, serial, stream, std::move(response));
                });
            });
        };
        auto connection = std::make_unique<PeerConnection>(socket, side, timeouts_, std::move(handler), now);
        PeerConnection *added = connection.get();
        connections_[socket] = std::move(connection);
        serials_[socket] = serial;
        updateEpoll(socket, side == ConnectionSide::Client ? EPOLLIN | EPOLLOUT : EPOLLIN, EPOLL_CTL_ADD);
        markDirty(socket);
        return added;
    }

    void respond(int socket, std::uint64_t serial, std::int32_t stream, std::string body)
    {
        // The file descriptor may have been reused for another connection since.
        const auto known = serials_.find(socket);
        if (known == serials_.end() || known->second != serial) {
            return;
        }
        ++sentMessages_;
        connections_.at(socket)->respond(stream, std::move(body));
        markDirty(socket);
    }

    PeerConnection *connectionTo(const std::string &address, TimePoint now)
    {
        const auto known = outbound_.find(address);
        if (known != outbound_.end()) {
            return connections_.at(known->second).get();
        }
        const auto failed = failedAt_.find(address);
        if (failed != failedAt_.end() && now - failed->second < ReconnectDelay) {
            return nullptr;
        }
        int socket = -1;
        try {
            const Poco::Net::SocketAddress target(address);
            socket = ::socket(target.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            setNoDelay(socket);
            if (::connect(socket, target.addr(), target.length()) != 0 && errno != EINPROGRESS) {
                ::close(socket);
                failedAt_[address] = now;
                return nullptr;
            }
        } catch (const Poco::Exception &) {
            return nullptr;
        }
        outbound_[address] = socket;
        return addConnection(socket, ConnectionSide::Client, now);
    }

    void closeConnection(int socket, TimePoint now)
    {
        const auto position = connections_.find(socket);
        if (position == connections_.end()) {
            return;
        }
        const std::unique_ptr<PeerConnection> connection = std::move(position->second);
        connections_.erase(position);
        serials_.erase(socket);
        for (auto entry = outbound_.begin(); entry != outbound_.end(); ++entry) {
            if (entry->second == socket) {
                failedAt_[entry->first] = now;
                outbound_.erase(entry);
                break;
            }
        }
        updateEpoll(socket, 0, EPOLL_CTL_DEL);
        connection->failAll();
    }

    void markDirty(int socket)
    {
        dirty_.push_back(socket);
    }

    void flushDirty()
    {
        std::vector<int> sockets;
        sockets.swap(dirty_);
        for (const int socket : sockets) {
            const auto position = connections_.find(socket);
            if (position == connections_.end()) {
                continue;
            }
            PeerConnection &connection = *position->second;
            const std::uint64_t sent = connection.sentBytes();
            if (!connection.flush()) {
                closeConnection(socket, monotonicNow());
                continue;
            }
            sentBytes_ += connection.sentBytes() - sent;
            updateEpoll(socket, connection.wantsWrite() ? EPOLLIN | EPOLLOUT : EPOLLIN, EPOLL_CTL_MOD);
        }
    }

    void tick(TimePoint now)
    {
        std::vector<int> ended;
        std::uint64_t received = 0;
        for (const auto &[socket, connection] : connections_) {
            received += connection->receivedBytes();
            if (!connection->tick(now) || connection->isIdle(now)) {
                ended.push_back(socket);
            } else {
                markDirty(socket);
            }
        }
        for (const int socket : ended) {
            closedBytes_ += connections_.at(socket)->receivedBytes();
            closeConnection(socket, now);
        }
        receivedBytes_ = std::max<std::uint64_t>(receivedBytes_, received + closedBytes_);
    }

    void runTasks()
    {
        std::vector<std::function<void()>> tasks;
        {
            const std::lock_guard lock(mutex_);
            tasks.swap(tasks_);
        }
        for (const auto &task : tasks) {
            task();
        }
    }

    int listener_;
    int wakeup_;
    int epoll_;
    PeerTimeouts timeouts_;
    Handler handler_;
    std::atomic<bool> isStopping_ = false;
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_;
    std::unordered_map<int, std::unique_ptr<PeerConnection>> connections_;
    std::unordered_map<int, std::uint64_t> serials_;
    std::uint64_t lastSerial_ = 0;
    std::map<std::string, int> outbound_;
    std::map<std::string, TimePoint> failedAt_;
    std::vector<int> dirty_;
    std::atomic<std::uint64_t> sentBytes_ = 0;
    std::atomic<std::uint64_t> receivedBytes_ = 0;
    std::uint64_t closedBytes_ = 0;
    std::atomic<std::uint64_t> sentMessages_ = 0;
    std::atomic<std::uint64_t> receivedMessages_ = 0;
    std::thread thread_;
};

PeerTransport::PeerTransport(std::unique_ptr<EventLoop> loop)
    : loop_(std::move(loop))
{
}

PeerTransport::~PeerTransport() = default;

Result<std::unique_ptr<PeerTransport>> PeerTransport::create(const std::string &address, PeerTimeouts timeouts, Handler handler)
{
    try {
        const int listener = openListener(Poco::Net::SocketAddress(address));
        if (listener < 0) {
            LOG(ERROR) << "cannot listen for other instances on " << address;
            return RouterError::InvalidSetting;
        }
        return std::unique_ptr<PeerTransport>(new PeerTransport(std::make_unique<EventLoop>(listener, timeouts, std::move(handler))));
    } catch (const Poco::Exception &exception) {
        LOG(ERROR) << "cannot listen for other instances on " << address << ": " << exception.displayText();
        return RouterError::InvalidSetting;
    }
}

void PeerTransport::call(const std::string &address, PeerChannel channel, std::string body, Duration timeout, Callback callback)
{
    OutboundCall call{channel, std::move(body), monotonicNow() + timeout, std::move(callback)};
    loop_->post([loop = loop_.get(), address, call = std::make_shared<OutboundCall>(std::move(call))] {
        loop->startCall(address, std::move(*call));
    });
}

void PeerTransport::send(const std::string &address, PeerChannel channel, std::string body)
{
    call(address, channel, std::move(body), SendTimeout, [](const PeerReply &) {});
}

std::uint16_t PeerTransport::port() const
{
    return loop_->port();
}

PeerCounters PeerTransport::counters() const
{
    return loop_->counters();
}

} // namespace Goldcrestwall
