// Implements a fake key-value store in simulated time.
#include <Tests/Harness/FakeStore.h>

namespace Goldcrestwall {

namespace {

constexpr Duration CallTimeout = 1s;

} // namespace

Duration FakeStore::delay()
{
    return events_.uniform(1ms, 5ms) + extraDelay_;
}

RecordValue FakeStore::current(const RecordKey &key) const
{
    const auto record = records_.find(key);
    return record == records_.end() ? RecordValue{key, 0, {}} : record->second;
}

void FakeStore::read(const ReadRecord &call, Answer answer)
{
    ++reads_;
    events_.after(delay(), [this, call, answer = std::move(answer)] {
        const StoreStatus status = isDown_ ? StoreStatus::Unavailable : StoreStatus::Done;
        answer({call.call_, status, isDown_ ? RecordValue{call.key_, 0, {}} : current(call.key_), {}});
    });
}

void FakeStore::list(const ListRecords &call, Answer answer)
{
    ++reads_;
    events_.after(delay(), [this, call, answer = std::move(answer)] {
        StoreResponse result{call.call_, isDown_ ? StoreStatus::Unavailable : StoreStatus::Done, {}, {}};
        for (const auto &[key, record] : records_) {
            if (!isDown_) {
                result.versions_.push_back({key, record.version_});
            }
        }
        answer(result);
    });
}

void FakeStore::swap(const SwapRecord &call, Answer answer)
{
    ++swaps_;
    // Whether the swap takes effect is decided when it arrives: the store may become unavailable while the call is in transit.
    events_.after(delay(), [this, call, answer = std::move(answer)] {
        if (isDown_) {
            answer({call.call_, StoreStatus::Unavailable, {}, {}});
            return;
        }
        StoreResponse result{call.call_, StoreStatus::Conflict, current(call.key_), {}};
        if (result.record_.version_ == call.expected_) {
            result.status_ = StoreStatus::Done;
            const RecordValue stored{call.key_, call.expected_ + 1, call.value_};
            records_[call.key_] = stored;
            history_.push_back({stored, events_.now()});
        }
        if (events_.uniform() < lossShare_) {
            events_.after(CallTimeout, [call, answer] {
                answer({call.call_, StoreStatus::Unknown, {}, {}});
            });
            return;
        }
        answer(result);
    });
}

} // namespace Goldcrestwall
