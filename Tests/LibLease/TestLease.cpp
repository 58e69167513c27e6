// Tests leases, witnesses and takeovers, and that a lease never outlasts a takeover.
#include <LibLease/LibLease.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::milliseconds(milliseconds));
}

const Incarnation Holder{InstanceId("holder"), 1};
const std::vector<Incarnation> Witnesses{{InstanceId("w1"), 1}, {InstanceId("w2"), 1}, {InstanceId("w3"), 1}};
const std::vector<Incarnation> OtherWitnesses{{InstanceId("w4"), 1}, {InstanceId("w5"), 1}, {InstanceId("w6"), 1}};

LeaseHolder makeHolder()
{
    LeaseHolder holder(Holder, {});
    holder.setWitnesses({Witnesses, {}});
    return holder;
}

} // namespace

class TestLease : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLease);
    CPPUNIT_TEST(leaseNeedsAMajority);
    CPPUNIT_TEST(leaseCountsFromTheSendTime);
    CPPUNIT_TEST(leaseNeedsBothSetsDuringAReplacement);
    CPPUNIT_TEST(sealIsFinalAlsoForDelayedRenewals);
    CPPUNIT_TEST(sealedNumberCoversEarlierIncarnations);
    CPPUNIT_TEST(takeoverWaitsOutTheLongestRemainder);
    CPPUNIT_TEST(takeoverIgnoresNonWitnesses);
    CPPUNIT_TEST(holderNeverOutlivesATakeover);
    CPPUNIT_TEST_SUITE_END();

public:
    void leaseNeedsAMajority()
    {
        LeaseHolder holder = makeHolder();
        const auto due = holder.takeRenewalsDue(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), due.size());
        holder.handleGranted(due[0].witness_, due[0].sequence_);
        CPPUNIT_ASSERT(!holder.isValid(at(1)));
        holder.handleGranted(due[1].witness_, due[1].sequence_);
        CPPUNIT_ASSERT(holder.isValid(at(999)));
        CPPUNIT_ASSERT(!holder.isValid(at(1000)));
    }

    void leaseCountsFromTheSendTime()
    {
        LeaseHolder holder = makeHolder();
        const auto due = holder.takeRenewalsDue(at(100));
        // Late responses count from the send time, and a response to a request that was never sent is ignored.
        holder.handleGranted(due[0].witness_, due[0].sequence_);
        holder.handleGranted(due[1].witness_, due[1].sequence_ + 1);
        CPPUNIT_ASSERT(!holder.isValid(at(900)));
        holder.handleGranted(due[1].witness_, due[1].sequence_);
        CPPUNIT_ASSERT(holder.expiry() == at(1100));
    }

    void leaseNeedsBothSetsDuringAReplacement()
    {
        LeaseHolder holder = makeHolder();
        for (const auto &due : holder.takeRenewalsDue(at(0))) {
            holder.handleGranted(due.witness_, due.sequence_);
        }
        holder.setWitnesses({Witnesses, OtherWitnesses});
        CPPUNIT_ASSERT(!holder.isValid(at(1)));
        for (const auto &due : holder.takeRenewalsDue(at(2))) {
            holder.handleGranted(due.witness_, due.sequence_);
        }
        CPPUNIT_ASSERT(holder.isValid(at(3)));
        CPPUNIT_ASSERT(holder.expiry() == at(1000));
    }

    void sealIsFinalAlsoForDelayedRenewals()
    {
        Witness witness({});
        CPPUNIT_ASSERT(witness.renew(Holder, at(0)) == RenewalResult::Granted);
        CPPUNIT_ASSERT(witness.seal(Holder, at(500)) == Duration(520ms));
        CPPUNIT_ASSERT(witness.renew(Holder, at(501)) == RenewalResult::Sealed);
        // A renewal request that was delayed until after the removal of the member must not renew the lease.
        witness.retain({});
        CPPUNIT_ASSERT(witness.renew(Holder, at(60000)) == RenewalResult::Sealed);
    }

    void sealedNumberCoversEarlierIncarnations()
    {
        Witness witness({});
        witness.seal({InstanceId("holder"), 5}, at(0));
        CPPUNIT_ASSERT(witness.renew({InstanceId("holder"), 4}, at(1)) == RenewalResult::Sealed);
        CPPUNIT_ASSERT(witness.renew({InstanceId("holder"), 6}, at(1)) == RenewalResult::Granted);
    }

    void takeoverWaitsOutTheLongestRemainder()
    {
        Takeover takeover(Holder, Witnesses, {}, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), takeover.takeSealsDue(at(0)).size());
        takeover.handleSealed(Witnesses[0], 300ms, at(10));
        CPPUNIT_ASSERT(!takeover.safeAt());
        takeover.handleSealed(Witnesses[1], 700ms, at(20));
        CPPUNIT_ASSERT(takeover.safeAt() == at(740));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), takeover.takeSealsDue(at(200)).size());
    }

    void takeoverIgnoresNonWitnesses()
    {
        Takeover takeover(Holder, Witnesses, {}, at(0));
        takeover.handleSealed(OtherWitnesses[0], 0ms, at(1));
        takeover.handleSealed(OtherWitnesses[1], 0ms, at(1));
        CPPUNIT_ASSERT(!takeover.hasMajority());
    }

    void holderNeverOutlivesATakeover()
    {
        // Interleavings of renewals and seals in steps of 100 ms: in each of six steps one of the three witnesses, or none, is sealed.
        for (unsigned schedule = 0; schedule < 4096; ++schedule) {
            LeaseHolder holder = makeHolder();
            std::vector<Witness> witnesses(3, Witness({}));
            Takeover takeover(Holder, Witnesses, {}, at(0));
            unsigned bits = schedule;
            const auto next = [&](unsigned count) {
                const unsigned choice = bits % count;
                bits /= count;
                return choice;
            };
            for (int step = 0; step < 6; ++step) {
                const TimePoint now = at(step * 100);
                const unsigned sealed = next(4);
                if (sealed < 3) {
                    takeover.handleSealed(Witnesses[sealed], witnesses[sealed].seal(Holder, now), now);
                }
                for (const auto &due : holder.takeRenewalsDue(now)) {
                    const auto index = static_cast<std::size_t>(std::find(Witnesses.begin(), Witnesses.end(), due.witness_) - Witnesses.begin());
                    const bool isGranted = witnesses[index].renew(Holder, now) == RenewalResult::Granted;
                    if (isGranted) {
                        holder.handleGranted(due.witness_, due.sequence_);
                    }
                }
                if (takeover.safeAt()) {
                    CPPUNIT_ASSERT(holder.expiry() <= *takeover.safeAt());
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLease);
