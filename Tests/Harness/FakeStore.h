// A fake of the platform's key-value store.
#pragma once

#include <LibCoordination/LibCoordination.h>
#include <Tests/Harness/EventQueue.h>

namespace Goldcrestwall {

// One version of a record and the time at which it took effect.
struct StoredVersion
{
    RecordValue record_;
    TimePoint time_;
};

// Responds after a random delay. It can be unavailable, be slow, or lose the response to a swap after the swap took effect.
class FakeStore
{
public:
    explicit FakeStore(EventQueue &events)
        : events_(events)
    {
    }

    using Answer = std::function<void(const StoreResponse &answer)>;

    void read(const ReadRecord &call, Answer answer);
    void list(const ListRecords &call, Answer answer);
    void swap(const SwapRecord &call, Answer answer);

    void setDown(bool isDown)
    {
        isDown_ = isDown;
    }
    // Sets the fraction of swaps whose response is lost.
    void setLossShare(double share)
    {
        lossShare_ = share;
    }
    void setExtraDelay(Duration delay)
    {
        extraDelay_ = delay;
    }

    const std::vector<StoredVersion> &history() const
    {
        return history_;
    }
    std::uint64_t readCount() const
    {
        return reads_;
    }
    std::uint64_t swapCount() const
    {
        return swaps_;
    }

private:
    Duration delay();
    RecordValue current(const RecordKey &key) const;

    EventQueue &events_;
    std::map<RecordKey, RecordValue> records_;
    std::vector<StoredVersion> history_;
    bool isDown_ = false;
    double lossShare_ = 0;
    Duration extraDelay_{};
    std::uint64_t reads_ = 0;
    std::uint64_t swaps_ = 0;
};

} // namespace Goldcrestwall
