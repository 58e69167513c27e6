// Tests of the account of a process's memory.
#include <LibHttp/LibHttp.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>
#include <random>
#include <vector>

using namespace Goldcrestwall::Gateway;

namespace {

constexpr std::uint64_t Capacity = 1000;

MemoryHolder holderAt(std::size_t index)
{
    return static_cast<MemoryHolder>(index);
}

} // namespace

class TestMemoryAccount : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMemoryAccount);
    CPPUNIT_TEST(holdersGiveWayInOrder);
    CPPUNIT_TEST(unparsedInputLeavesRoomForNewConnections);
    CPPUNIT_TEST(reservationsGrowAndShrink);
    CPPUNIT_TEST(capacityIsWithinNineTenths);
    CPPUNIT_TEST(smallerCapacityTakesNothingBack);
    CPPUNIT_TEST(sumNeverExceedsTheCapacity);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdersGiveWayInOrder()
    {
        MemoryAccount account(Capacity);
        for (std::size_t i = 1; i < MemoryHolderCount; ++i) {
            CPPUNIT_ASSERT(account.ceiling(holderAt(i - 1)) <= account.ceiling(holderAt(i)));
        }
        const std::vector<MemoryHolder> order{MemoryHolder::CallerConnections, MemoryHolder::CallerInput, MemoryHolder::Requests, MemoryHolder::ResponseBodies};
        for (std::size_t i = 0; i < order.size(); ++i) {
            // The store's part of the account brings the sum to each ceiling in turn.
            MemoryReservation store(account, MemoryHolder::StoreResponses);
            CPPUNIT_ASSERT(store.tryReserve(account.ceiling(order[i])));
            for (std::size_t j = 0; j < order.size(); ++j) {
                MemoryReservation reservation(account, order[j]);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(memoryHolderName(order[j]), j > i, reservation.tryReserve(1));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), account.refusals(MemoryHolder::CallerConnections));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), account.refusals(MemoryHolder::ResponseBodies));
        CPPUNIT_ASSERT_EQUAL(account.ceiling(MemoryHolder::ResponseBodies), account.peak());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.reserved());
    }

    // Callers that never finish a head must not keep out all others.
    void unparsedInputLeavesRoomForNewConnections()
    {
        MemoryAccount account(Capacity);
        MemoryReservation input(account, MemoryHolder::CallerInput);
        CPPUNIT_ASSERT(!input.tryReserve(account.share(MemoryHolder::CallerInput) + 1));
        CPPUNIT_ASSERT(input.tryReserve(account.share(MemoryHolder::CallerInput)));
        CPPUNIT_ASSERT(account.available(MemoryHolder::CallerConnections) >= Capacity / 3);
    }

    void reservationsGrowAndShrink()
    {
        MemoryAccount account(Capacity);
        {
            MemoryReservation body(account, MemoryHolder::Requests);
            CPPUNIT_ASSERT(body.tryReserveBody(100, 10));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(210), body.bytes());
            // Smaller sizes change nothing.
            CPPUNIT_ASSERT(body.tryReserve(5));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(210), account.reservedBy(MemoryHolder::Requests));
            body.shrinkTo(30);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), account.reserved());
            MemoryReservation moved(std::move(body));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), moved.bytes());
            CPPUNIT_ASSERT(!moved.tryReserve(Capacity));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), account.reserved());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.reserved());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(210), account.peak());
    }

    void capacityIsWithinNineTenths()
    {
        CPPUNIT_ASSERT(MemoryAccount::capacityWithin(160'000'000) < 144'000'000 - 9'000'000);
        CPPUNIT_ASSERT(MemoryAccount::capacityWithin(160'000'000) > 80'000'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), MemoryAccount::capacityWithin(300'000));
        MemoryAccount account(std::numeric_limits<std::uint64_t>::max());
        CPPUNIT_ASSERT_EQUAL(account.capacity(), account.ceiling(MemoryHolder::StoreResponses));
    }

    void smallerCapacityTakesNothingBack()
    {
        MemoryAccount account(Capacity);
        MemoryReservation body(account, MemoryHolder::ResponseBodies);
        CPPUNIT_ASSERT(body.tryReserve(800));
        account.setCapacity(100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(800), account.reserved());
        CPPUNIT_ASSERT(body.tryReserve(700));
        CPPUNIT_ASSERT(!body.tryReserve(801));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.available(MemoryHolder::StoreResponses));
    }

    void sumNeverExceedsTheCapacity()
    {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            std::mt19937 random(seed);
            MemoryAccount account(Capacity + random() % Capacity);
            std::vector<std::pair<MemoryHolder, MemoryReservation>> reservations;
            for (int step = 0; step < 500; ++step) {
                const auto holder = holderAt(random() % MemoryHolderCount);
                const std::uint64_t before = account.reserved();
                if (random() % 3 != 0 || reservations.empty()) {
                    MemoryReservation reservation(account, holder);
                    const std::uint64_t bytes = 1 + random() % 300;
                    const std::uint64_t available = account.available(holder);
                    const bool isReserved = reservation.tryReserve(bytes);
                    CPPUNIT_ASSERT_EQUAL(bytes <= available, isReserved);
                    CPPUNIT_ASSERT_EQUAL(before + (isReserved ? bytes : 0), account.reserved());
                    CPPUNIT_ASSERT(!isReserved || account.reserved() <= account.ceiling(holder));
                    CPPUNIT_ASSERT(!isReserved || account.reservedBy(holder) <= account.share(holder));
                    reservations.emplace_back(holder, std::move(reservation));
                } else if (random() % 2 == 0) {
                    reservations.erase(reservations.begin() + static_cast<std::ptrdiff_t>(random() % reservations.size()));
                } else {
                    auto &reservation = reservations[random() % reservations.size()].second;
                    reservation.shrinkTo(random() % 300);
                }
                std::uint64_t sum = 0;
                for (std::size_t i = 0; i < MemoryHolderCount; ++i) {
                    std::uint64_t own = 0;
                    for (const auto &[owner, reservation] : reservations) {
                        own += owner == holderAt(i) ? reservation.bytes() : 0;
                    }
                    CPPUNIT_ASSERT_EQUAL(own, account.reservedBy(holderAt(i)));
                    sum += own;
                }
                CPPUNIT_ASSERT_EQUAL(sum, account.reserved());
                CPPUNIT_ASSERT(account.reserved() <= account.capacity());
                CPPUNIT_ASSERT(account.peak() <= account.capacity());
            }
            reservations.clear();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), account.reserved());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMemoryAccount);
