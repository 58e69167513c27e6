// Tests of the exchange of views between instances, on real connections.
#include <LibGateway/LibGateway.h>

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/write.hpp>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;
using Platform::StoreItem;

namespace {

constexpr std::size_t ViewItems = 300;
constexpr std::size_t ItemBytes = 1000;

std::string freeAddress(asio::io_context &loop)
{
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

std::vector<StoreItem> largeContent(Platform::Revision revision)
{
    std::vector<StoreItem> items;
    for (std::size_t i = 0; i < ViewItems; ++i) {
        items.push_back({"other/" + std::to_string(i), std::string(ItemBytes, 'x'), revision, 0});
    }
    return items;
}

// An instance's side of the exchange.
struct Side
{
    Side()
    {
        CPPUNIT_ASSERT(!network_.listen(address_));
        view_.replace(largeContent(5), 5, bootNow());
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

    PeerNetwork::Handlers makeHandlers()
    {
        PeerNetwork::Handlers handlers;
        handlers.incoming_ = [this](const std::shared_ptr<PeerLink> &link, const PeerMessage &message) {
            if (const auto *request = std::get_if<ViewRequestMessage>(&message)) {
                relay_.handleRequest(link, *request, bootNow());
            }
        };
        handlers.incomingClosed_ = [this](const std::shared_ptr<PeerLink> &link) {
            relay_.removePeer(link);
        };
        return handlers;
    }

    asio::io_context loop_{1};
    EventLog log_{"edge-1"};
    std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>();
    StoreView view_{[](const std::string &, const std::string &) {}, notices_};
    Platform::PlatformStore store_{loop_, "127.0.0.1:1"};
    StoreLink storeLink_{loop_, store_, view_, MemberEntry{"edge-1", "1", "127.0.0.1:1", "north", 100}, log_, {}};
    PeerNetwork network_{loop_, HelloMessage{"edge-1", "1", "north"}, log_, makeHandlers()};
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
        ErrorCode ignored;
        asio::write(socket_, asio::buffer(encodeFrame(message)), ignored);
    }

private:
    Tcp::socket socket_;
};

} // namespace

class TestViewRelay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewRelay);
    CPPUNIT_TEST(peerThatDoesNotReadIsOwedOneView);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewRelay);
