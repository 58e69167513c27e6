// Tests of the exchange of views between instances, on real connections.
#include <LibGateway/LibGateway.h>

#include <StandIns/PlatformStoreStandIn.h>

#include <Tests/LibGateway/StoreEntries.h>
#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/write.hpp>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;
using Platform::StoreItem;

namespace {

constexpr std::uint64_t MemoryCapacity = 64U << 20U;

constexpr std::size_t ViewItems = 300;
constexpr std::size_t ItemBytes = 1000;

std::string freeAddress(asio::io_context &loop)
{
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

std::vector<StoreItem> largeContent(std::uint64_t revision)
{
    std::vector<StoreItem> items;
    for (std::size_t i = 0; i < ViewItems; ++i) {
        items.push_back({"other/" + std::to_string(i), std::string(ItemBytes, 'x'), atRevision(revision), {}});
    }
    return items;
}

// An instance's side of the exchange.
struct Side
{
    explicit Side(PeerLimits limits = {}, std::string storeAddress = "127.0.0.1:1")
        : limits_(limits)
        , storeAddress_(std::move(storeAddress))
    {
        CPPUNIT_ASSERT(!network_.listen(address_));
        view_.replace(largeContent(5), atRevision(5), bootNow());
    }

    void run(Duration duration)
    {
        for (const TimePoint until = bootNow() + duration; bootNow() < until;) {
            loop_.run_for(std::chrono::milliseconds(10));
            loop_.restart();
            network_.maintain(bootNow());
            relay_.follow(bootNow());
            relay_.serve(bootNow());
        }
    }

    std::size_t outgoingBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &link : network_.allLinks()) {
            bytes += link->outgoingBytes();
        }
        return bytes;
    }

    std::size_t incomingBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &link : network_.allLinks()) {
            bytes += link->incomingBytes();
        }
        return bytes;
    }

    PeerNetwork::Handlers makeHandlers()
    {
        PeerNetwork::Handlers handlers;
        handlers.incoming_ = [this](const std::shared_ptr<PeerLink> &link, const PeerMessage &message) {
            if (const auto *hello = std::get_if<HelloMessage>(&message)) {
                link->setInstance(hello->instance_, hello->domain_);
            } else if (const auto *request = std::get_if<ViewRequestMessage>(&message)) {
                relay_.handleRequest(link, *request, bootNow());
            } else if (const auto *ping = std::get_if<PingMessage>(&message)) {
                relay_.handlePing(link, *ping, bootNow());
            }
        };
        handlers.outgoing_ = [this](const std::shared_ptr<PeerLink> &link, PeerMessage message) {
            if (auto *update = std::get_if<ViewUpdateMessage>(&message)) {
                relay_.handleUpdate(link, std::move(*update), bootNow());
            } else if (const auto *pong = std::get_if<PongMessage>(&message)) {
                relay_.handlePong(link, *pong, bootNow());
            }
        };
        handlers.incomingClosed_ = [this](const std::shared_ptr<PeerLink> &link) {
            relay_.removePeer(link);
        };
        return handlers;
    }

    PeerLimits limits_;
    std::string storeAddress_;
    asio::io_context loop_{1};
    EventLog log_{"edge-1"};
    std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>();
    StoreView view_{[](const std::string &, const std::string &) {}, notices_};
    MemoryAccount memory_{MemoryCapacity};
    Platform::PlatformStore store_{loop_, storeAddress_, memory_};
    StoreLink storeLink_{loop_, store_, view_, MemberEntry{"edge-1", "1", "127.0.0.1:1", "north", 100}, log_, {[] {}, [] {}}};
    PeerNetwork network_{loop_, HelloMessage{"edge-1", "1", "north"}, log_, makeHandlers(), limits_};
    ViewRelay relay_{"edge-1", "north", view_, storeLink_, network_, notices_, log_};
    std::string address_ = freeAddress(loop_);
};

// A peer that sends and does not read.
class SilentReader
{
public:
    SilentReader(asio::io_context &loop, const std::string &address)
        : socket_(loop)
    {
        socket_.open(Tcp::v4());
        socket_.set_option(asio::socket_base::receive_buffer_size(4096));
        socket_.connect(*parseEndpoint(address));
    }

    void send(const PeerMessage &message)
    {
        sendBytes(encodeFrame(message));
    }

    void sendBytes(const std::string &bytes)
    {
        ErrorCode ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

private:
    Tcp::socket socket_;
};

// Instances that accept connections and say nothing.
class SilentInstances
{
public:
    // Each is in a failure domain of its own.
    SilentInstances(asio::io_context &loop, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            acceptors_.emplace_back(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            acceptors_.back().non_blocking(true);
        }
    }

    std::vector<MemberEntry> members() const
    {
        std::vector<MemberEntry> members;
        for (const auto &acceptor : acceptors_) {
            const auto number = std::to_string(members.size() + 2);
            members.push_back({"edge-" + number, "1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "domain-" + number, 100});
        }
        return members;
    }

    // Number of instances to which there has been a connection.
    std::size_t connectedCount()
    {
        for (std::size_t i = 0; i < acceptors_.size(); ++i) {
            ErrorCode error;
            auto socket = acceptors_[i].accept(error);
            if (!error) {
                sockets_.emplace(i, std::move(socket));
            }
        }
        return sockets_.size();
    }

    void tellAll(const PeerMessage &message)
    {
        connectedCount();
        for (auto &[number, socket] : sockets_) {
            ErrorCode ignored;
            asio::write(socket, asio::buffer(encodeFrame(message)), ignored);
        }
    }

private:
    std::vector<Tcp::acceptor> acceptors_;
    std::map<std::size_t, Tcp::socket> sockets_;
};

// The beginning of a frame of 16,000,000 bytes.
std::string unfinishedFrame(std::size_t size)
{
    return std::string("\x00\xf4\x24\x00", 4) + std::string(size, 'x');
}

// The beginning of a frame of 60,000 bytes.
std::string unfinishedSmallFrame(std::size_t size)
{
    return std::string("\x00\x00\xea\x60", 4) + std::string(size, 'x');
}

} // namespace

class TestViewRelay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewRelay);
    CPPUNIT_TEST(peerThatDoesNotReadIsOwedOneView);
    CPPUNIT_TEST(peersThatAskTogetherShareOneAnswerAndTakeTurns);
    CPPUNIT_TEST(connectionWhosePeerDoesNotReadIsClosed);
    CPPUNIT_TEST(largeFrameIsNotAcceptedOnAConnectionOfAPeer);
    CPPUNIT_TEST(connectionsArePossibleForPeersOnly);
    CPPUNIT_TEST(unfinishedMessagesOfAllPeersAreBounded);
    CPPUNIT_TEST(smallMessagesToAllPeersAreBounded);
    CPPUNIT_TEST(queueThatOverflowsInAnAnnouncementEndsOnlyItsConnection);
    CPPUNIT_TEST(revisionInAPeersPingIsExpected);
    CPPUNIT_TEST(pingOfAnEarlierVersionIsUnderstood);
    CPPUNIT_TEST(pingsStateTheRevision);
    CPPUNIT_TEST(higherEraAloneLeadsToNoConnectionsToAll);
    CPPUNIT_TEST(peersTellOfAHigherEra);
    CPPUNIT_TEST(peerOfAnEarlierEraIsGivenTheCompleteView);
    CPPUNIT_TEST(valueThatAPeerWronglyLeftOutIsFetched);
    CPPUNIT_TEST(leavingServerThatTheCopyHasAsReadyIsToldToOthers);
    CPPUNIT_TEST(peerOfAnEarlierEraConfirmsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void peerThatDoesNotReadIsOwedOneView()
    {
        Side side;
        SilentReader peer(side.loop_, side.address_);
        peer.send(HelloMessage{"edge-2", "1", "south"});
        std::size_t largest = 0;
        for (int i = 0; i < 50; ++i) {
            peer.send(ViewRequestMessage{0});
            side.run(20ms);
            largest = std::max(largest, side.outgoingBytes());
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(largest) + " bytes are queued", largest < 2 * ViewItems * ItemBytes);
    }

    void peersThatAskTogetherShareOneAnswerAndTakeTurns()
    {
        Side side;
        std::vector<std::unique_ptr<SilentReader>> peers;
        for (int i = 0; i < 5; ++i) {
            peers.push_back(std::make_unique<SilentReader>(side.loop_, side.address_));
            peers.back()->send(HelloMessage{"edge-" + std::to_string(i), "1", "south"});
            peers.back()->send(ViewRequestMessage{0});
        }
        side.run(100ms);
        // Three answers of 300 kB are below the bound of 1 MiB.
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), side.relay_.answersUnderWay());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), side.relay_.waitingRequests());
        CPPUNIT_ASSERT(side.relay_.answerBytes() < 2 * ViewItems * ItemBytes);
        CPPUNIT_ASSERT(side.relay_.answerBytes() <= side.outgoingBytes());
        // Their requests are too old by the time the peers that read nothing have been disconnected.
        side.run(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), side.relay_.answersUnderWay());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), side.relay_.waitingRequests());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), side.relay_.answerBytes());
    }

    // Its other answers would otherwise be held up for as long as it asks.
    void connectionWhosePeerDoesNotReadIsClosed()
    {
        Side side;
        SilentReader peer(side.loop_, side.address_);
        peer.send(HelloMessage{"edge-2", "1", "south"});
        side.run(50ms);
        // More than the sockets hold.
        for (int i = 0; i < 20; ++i) {
            side.network_.allLinks().front()->send(PeerFrame(std::make_shared<const std::string>(ViewItems * ItemBytes, 'x')));
        }
        for (int i = 0; i < 30 && !side.network_.allLinks().empty(); ++i) {
            peer.send(PingMessage{1});
            side.run(100ms);
        }
        CPPUNIT_ASSERT(side.network_.allLinks().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), side.network_.closedLinks().at(PeerCloseReason::NotReading));
    }

    // Only answers for the view are large, and they come on connections that this instance opens.
    void largeFrameIsNotAcceptedOnAConnectionOfAPeer()
    {
        Side side;
        SilentReader stranger(side.loop_, side.address_);
        SilentReader peer(side.loop_, side.address_);
        peer.send(HelloMessage{"edge-2", "1", "south"});
        side.run(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), side.network_.allLinks().size());
        stranger.sendBytes(unfinishedSmallFrame(10'000));
        peer.sendBytes(unfinishedFrame(100'000));
        side.run(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), side.network_.allLinks().size());
    }

    void connectionsArePossibleForPeersOnly()
    {
        Side side({.incomingConnections_ = 10});
        std::vector<std::unique_ptr<SilentReader>> peers;
        for (int i = 0; i < 40; ++i) {
            peers.push_back(std::make_unique<SilentReader>(side.loop_, side.address_));
            if (i < 5 || i >= 37) {
                peers.back()->send(HelloMessage{"edge-" + std::to_string(i), "1", "south"});
            }
            side.run(20ms);
        }
        const auto links = side.network_.allLinks();
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), links.size());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(8), std::ranges::count_if(links, &PeerLink::hasHello));
    }

    void unfinishedMessagesOfAllPeersAreBounded()
    {
        constexpr std::size_t Limit = 100'000;
        Side side({.incomingBytes_ = Limit});
        std::vector<std::unique_ptr<SilentReader>> peers;
        for (int i = 0; i < 5; ++i) {
            peers.push_back(std::make_unique<SilentReader>(side.loop_, side.address_));
            peers.back()->send(HelloMessage{"edge-" + std::to_string(i), "1", "south"});
            side.run(20ms);
            peers.back()->sendBytes(unfinishedSmallFrame(30'000));
            side.run(50ms);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(side.incomingBytes()) + " bytes are held", side.incomingBytes() <= Limit);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), side.network_.allLinks().size());
    }

    void smallMessagesToAllPeersAreBounded()
    {
        constexpr std::size_t Limit = 1'000'000;
        Side side({.outgoingBytes_ = Limit});
        std::vector<std::unique_ptr<SilentReader>> peers;
        for (int i = 0; i < 4; ++i) {
            peers.push_back(std::make_unique<SilentReader>(side.loop_, side.address_));
            peers.back()->send(HelloMessage{"edge-" + std::to_string(i), "1", "south"});
        }
        side.run(50ms);
        for (int i = 0; i < 100; ++i) {
            for (const auto &link : side.network_.allLinks()) {
                link->send(CancelMessage{std::string(100'000, 'x'), 1});
            }
            side.run(10ms);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(side.outgoingBytes()) + " bytes are queued", side.outgoingBytes() <= Limit);
        }
    }

    void queueThatOverflowsInAnAnnouncementEndsOnlyItsConnection()
    {
        Side side;
        SilentReader silent(side.loop_, side.address_);
        silent.send(HelloMessage{"edge-2", "1", "north"});
        side.run(50ms);
        for (int i = 0; i < 200; ++i) {
            side.network_.announce(CancelMessage{std::string(100'000, 'x'), 1});
            loopOnce(side);
        }
        SilentReader other(side.loop_, side.address_);
        other.send(HelloMessage{"edge-3", "1", "north"});
        side.run(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), side.network_.allLinks().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), side.network_.closedLinks().at(PeerCloseReason::QueueFull));
    }

private:
    static void loopOnce(Side &side)
    {
        side.loop_.poll();
        side.loop_.restart();
    }

    // Guards against an instance that hears of no change because all who know of it follow this instance.
    void revisionInAPeersPingIsExpected()
    {
        Side side;
        SilentReader peer(side.loop_, side.address_);
        peer.send(HelloMessage{"edge-2", "1", "north"});
        peer.send(PingMessage{1, 5});
        side.run(50ms);
        CPPUNIT_ASSERT_EQUAL(atRevision(0), side.storeLink_.expectedVersion());
        peer.send(PingMessage{2, 6});
        side.run(50ms);
        CPPUNIT_ASSERT_EQUAL(atRevision(6), side.storeLink_.expectedVersion());
    }

    void pingOfAnEarlierVersionIsUnderstood()
    {
        msgpack::sbuffer buffer;
        msgpack::packer<msgpack::sbuffer> packer(buffer);
        packer.pack_array(2);
        packer.pack(PeerMessage(PingMessage()).index());
        packer.pack_array(1);
        packer.pack(std::int64_t(42));
        const auto message = decodeFrame(buffer.data(), buffer.size());
        CPPUNIT_ASSERT(message.has_value());
        const auto &ping = std::get<PingMessage>(*message);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(42), ping.sentAt_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ping.revision_);
    }

    void pingsStateTheRevision()
    {
        Side follower;
        Side watcher;
        follower.view_.replace(largeContent(6), atRevision(6), bootNow());
        const TimePoint until = bootNow() + 3s;
        while (watcher.storeLink_.expectedVersion() != atRevision(6) && bootNow() < until) {
            follower.relay_.refresh({watcher.address_}, bootNow());
            follower.run(10ms);
            watcher.run(10ms);
        }
        CPPUNIT_ASSERT_EQUAL(atRevision(6), watcher.storeLink_.expectedVersion());
    }

    // Guards against connections from each instance to each other one whenever the store comes back from an older copy.
    void higherEraAloneLeadsToNoConnectionsToAll()
    {
        PlatformStoreStandIn store(0);
        store.setEra(1);
        Side side({}, store.address());
        SilentInstances others(side.loop_, 8);
        store.put(Platform::ConfigurationKey, configurationText(1));
        for (auto member : others.members()) {
            member.era_ = 1;
            store.put(memberKey(member.name_), encodeMember(member));
        }
        side.storeLink_.start();
        awaitCurrent(side);
        refreshFor(side, 300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), others.connectedCount());
        store.setFault(PlatformStoreFault::IgnoresReads);
        side.storeLink_.expectEra(2, bootNow());
        refreshFor(side, 300ms);
        CPPUNIT_ASSERT(!side.storeLink_.isCurrent(bootNow()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), others.connectedCount());
        // Nobody has proved the view for long: any instance may know more.
        refreshFor(side, MaxViewAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), others.connectedCount());
    }

    void peersTellOfAHigherEra()
    {
        const std::vector<std::function<void(Side &, const std::shared_ptr<PeerLink> &)>> ways{
            [](Side &side, const auto &link) {
                side.relay_.handlePing(link, PingMessage{1, 2, false, 1}, bootNow());
            },
            [](Side &side, const auto &link) {
                PongMessage pong;
                pong.revision_ = 2;
                pong.era_ = 1;
                side.relay_.handlePong(link, pong, bootNow());
            },
            [](Side &side, const auto &link) {
                ViewChange change;
                change.to_ = {1, 2};
                side.relay_.handleChange(link, toMessage(change), bootNow());
            },
            [](Side &side, const auto &link) {
                side.relay_.handleRequest(link, ViewRequestMessage{2, 1}, bootNow());
            },
        };
        for (const auto &tell : ways) {
            Side side;
            SilentReader peer(side.loop_, side.address_);
            peer.send(HelloMessage{"edge-2", "1", "north"});
            side.run(50ms);
            CPPUNIT_ASSERT(!side.storeLink_.isEraOutdated());
            tell(side, side.network_.allLinks().front());
            CPPUNIT_ASSERT(side.storeLink_.isEraOutdated());
            CPPUNIT_ASSERT_EQUAL(atRevision(5), side.view_.at());
        }
    }

    void peerOfAnEarlierEraIsGivenTheCompleteView()
    {
        Side follower;
        Side watcher;
        watcher.view_.replace({{"other/key", "x", {1, 2}, {}}}, {1, 3}, bootNow());
        for (const TimePoint until = bootNow() + 3s; follower.view_.at() != StoreVersion(1, 3) && bootNow() < until;) {
            follower.relay_.refresh({watcher.address_}, bootNow());
            follower.run(10ms);
            watcher.run(10ms);
        }
        CPPUNIT_ASSERT_EQUAL(StoreVersion(1, 3), follower.view_.at());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), follower.view_.changesSince({}).items_.size());
    }

    void valueThatAPeerWronglyLeftOutIsFetched()
    {
        Side follower;
        Side watcher;
        follower.view_.replace({{"other/key", "another", {1, 2}, {}}}, {1, 9}, bootNow());
        watcher.view_.replace({{"other/key", "x", {1, 2}, {}}}, {1, 9}, bootNow());
        watcher.view_.replace({{"other/key", "x", {2, 2}, {}}}, {2, 3}, bootNow());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), watcher.view_.changesSince({1, 9}).unchanged_.size());
        for (const TimePoint until = bootNow() + 3s; follower.view_.at() != StoreVersion(2, 3) && bootNow() < until;) {
            follower.relay_.refresh({watcher.address_}, bootNow());
            follower.run(10ms);
            watcher.run(10ms);
        }
        CPPUNIT_ASSERT_EQUAL(StoreVersion(2, 3), follower.view_.at());
        CPPUNIT_ASSERT_EQUAL(std::string("x"), follower.view_.changesSince({}).items_.front().value_);
    }

    // Guards against requests to a leaving server from an instance that has started since the store came back, and knows the older copy alone.
    void leavingServerThatTheCopyHasAsReadyIsToldToOthers()
    {
        Side knowing;
        Side started;
        const ServerIncarnation server{"i-1", 5};
        knowing.view_.replace({{"servers/i-1", serverText("draining", 5, 10), {1, 40}, {}}}, {1, 50}, bootNow());
        for (auto *side : {&knowing, &started}) {
            side->view_.replace({{"servers/i-1", serverText("ready", 5, 8), {2, 30}, {}}}, {2, 31}, bootNow());
        }
        CPPUNIT_ASSERT(!started.notices_->isLeaving(server, bootNow()));
        for (const TimePoint until = bootNow() + 2s; !started.notices_->isLeaving(server, bootNow()) && bootNow() < until;) {
            started.relay_.refresh({knowing.address_}, bootNow());
            started.run(10ms);
            knowing.run(10ms);
        }
        CPPUNIT_ASSERT(started.notices_->isLeaving(server, bootNow()));
        CPPUNIT_ASSERT(started.notices_->hasAnnounced());
        // What the server has written since counts.
        for (auto *side : {&knowing, &started}) {
            side->view_.apply({Platform::StoreEvent{{"servers/i-1", serverText("ready", 5, 11), {2, 32}, {}}, false}}, {2, 32}, bootNow());
            CPPUNIT_ASSERT(!side->notices_->isLeaving(server, bootNow()));
        }
        started.run(500ms);
        CPPUNIT_ASSERT(!started.notices_->isLeaving(server, bootNow()));
    }

    // Guards against a view that is said to be complete because a peer's is, which is of before the store came back from an older copy.
    void peerOfAnEarlierEraConfirmsNothing()
    {
        for (const StoreEra era : {1, 2}) {
            Side side;
            SilentInstances peers(side.loop_, 1);
            side.view_.replace(largeContent(5), {2, 5}, bootNow());
            side.relay_.refresh({peers.members().front().peerAddress_}, bootNow());
            side.run(50ms);
            PongMessage pong;
            pong.revision_ = 5;
            pong.era_ = era;
            pong.isViewCurrent_ = true;
            pong.pingSentAt_ = bootNow().time_since_epoch().count();
            peers.tellAll(pong);
            side.run(100ms);
            CPPUNIT_ASSERT_EQUAL(era == 2, side.storeLink_.viewAge(bootNow()).has_value());
        }
    }

private:
    static void refreshFor(Side &side, Duration duration)
    {
        for (const TimePoint until = bootNow() + duration; bootNow() < until;) {
            side.relay_.refresh({}, bootNow());
            side.run(10ms);
        }
    }

    static void awaitCurrent(Side &side)
    {
        for (const TimePoint until = bootNow() + 3s; !side.storeLink_.isCurrent(bootNow()) && bootNow() < until;) {
            side.run(10ms);
        }
        CPPUNIT_ASSERT(side.storeLink_.isCurrent(bootNow()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewRelay);
