// Hedge policy: latency histogram, hedge delay and budget.
#include <LibAdmission/HedgePolicy.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// Hedges earned per request.
constexpr double BudgetRatio = 0.04;
constexpr double MaxTokens = 5;
constexpr double HedgeQuantile = 0.95;
// The quantile is recomputed after this many responses, over about twice as many.
constexpr std::uint32_t SamplesPerUpdate = 200;
constexpr double LowestMicroseconds = 50;
constexpr double HighestMicroseconds = 6e7;
constexpr unsigned BinCount = 120;

} // namespace

HedgePolicy::HedgePolicy()
    : latencies_(boost::histogram::make_histogram(Axis(BinCount, LowestMicroseconds, HighestMicroseconds)))
{
}

void HedgePolicy::recordRequest()
{
    tokens_ = std::min(MaxTokens, tokens_ + BudgetRatio);
}

void HedgePolicy::recordAnswered(Duration latency)
{
    latencies_(static_cast<double>(latency.count()));
    if (++samples_ >= SamplesPerUpdate) {
        updateDelay();
        samples_ = 0;
        // Halving the counts gives recent latencies more weight than old ones.
        latencies_ *= 0.5;
    }
}

bool HedgePolicy::tryTake()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void HedgePolicy::updateDelay()
{
    double total = 0;
    for (const auto &bin : boost::histogram::indexed(latencies_, boost::histogram::coverage::all)) {
        total += *bin;
    }
    double seen = 0;
    for (const auto &bin : boost::histogram::indexed(latencies_, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen >= HedgeQuantile * total) {
            delay_ = Duration(static_cast<Duration::rep>(std::min(bin.bin().upper(), HighestMicroseconds)));
            return;
        }
    }
}

} // namespace Goldcrestwall
