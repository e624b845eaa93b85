#include "Coordination/FakeStore.h"
#include "catkinwing/Dispatch/IdempotencyLedger.h"
#include "catkinwing/Dispatch/LedgerView.h"
#include "catkinwing/Support/ManualScheduler.h"
#include "catkinwing/Support/Random.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <malloc.h>

// Prints what the ledger costs: store writes and waits against the rate of
// keyed requests, on a manual clock, and the size and processor time of its
// documents on the machine's.

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct Load {
    double claimsPerSecond { 0 };
    std::chrono::milliseconds storeLatency { 0 };
};

struct Measured {
    std::vector<std::chrono::milliseconds> waits;
    std::size_t notWon { 0 };
    LedgerCounters counters;
    double cpuMicrosecondsPerClaim { 0 };
};

} // namespace

static constexpr auto runLength = 60s;

/// Claims keys at random times, at a mean rate.
class ClaimSource {
public:
    ClaimSource(const Load& load, ManualScheduler& scheduler, IdempotencyLedger& ledger, Measured& measured)
        : m_meanGap(1.0 / load.claimsPerSecond)
        , m_scheduler(scheduler)
        , m_ledger(ledger)
        , m_measured(measured)
        , m_end(scheduler.clock().now() + runLength)
    {
    }

    void scheduleNext()
    {
        std::chrono::duration<double> gap = -std::log(1.0 - m_random.unit()) * m_meanGap;
        m_scheduler.callAfter(std::chrono::duration_cast<Duration>(gap), [this] {
            if (m_scheduler.clock().now() >= m_end)
                return;
            claimOne();
            scheduleNext();
        });
    }

private:
    void claimOne()
    {
        TimePoint start = m_scheduler.clock().now();
        m_ledger.claim("team", std::to_string(++m_claims), 1, [this, start](const ClaimResult& result) {
            if (result.verdict != ClaimVerdict::Won)
                ++m_measured.notWon;
            else
                m_measured.waits.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(m_scheduler.clock().now() - start));
        });
    }

    std::chrono::duration<double> m_meanGap;
    ManualScheduler& m_scheduler;
    IdempotencyLedger& m_ledger;
    Measured& m_measured;
    TimePoint m_end;
    Random m_random { 1 };
    std::uint64_t m_claims { 0 };
};

static Measured run(const Load& load)
{
    ManualScheduler scheduler;
    FakeStore store(scheduler);
    store.setLatency(load.storeLatency);
    IdempotencyLedger ledger(store, scheduler, {}, "bench", 1, nullptr, nullptr);
    Measured measured;
    ClaimSource source(load, scheduler, ledger, measured);
    source.scheduleNext();
    SystemClock clock;
    TimePoint begin = clock.now();
    scheduler.advance(runLength + 5s);
    std::chrono::duration<double, std::micro> took = clock.now() - begin;
    measured.counters = ledger.counters();
    std::size_t total = measured.waits.size() + measured.notWon;
    measured.cpuMicrosecondsPerClaim = took.count() / static_cast<double>(std::max<std::size_t>(total, 1));
    std::sort(measured.waits.begin(), measured.waits.end());
    return measured;
}

static long long waitAt(const Measured& measured, double share)
{
    auto index = static_cast<std::size_t>(share * static_cast<double>(measured.waits.size() - 1));
    return static_cast<long long>(measured.waits[index].count());
}

static void printLoads()
{
    std::cout << "claims/s  store ms  writes/s  claims/write  wait ms p50  p95  p99  not won  us/claim (fake store included)\n";
    for (auto storeLatency : { 5ms, 110ms }) {
        for (double rate : { 1.0, 10.0, 100.0, 700.0, 1'400.0 }) {
            Measured measured = run({ rate, storeLatency });
            double writes = static_cast<double>(measured.counters.swaps) / std::chrono::duration<double>(runLength).count();
            double perWrite = static_cast<double>(measured.counters.claimsRecorded) / static_cast<double>(measured.counters.swaps);
            std::cout << std::fixed << std::setprecision(1) << std::setw(8) << rate << std::setw(10) << storeLatency.count()
                      << std::setw(10) << writes << std::setw(14) << perWrite << std::setw(13) << waitAt(measured, 0.5)
                      << std::setw(5) << waitAt(measured, 0.95) << std::setw(5) << waitAt(measured, 0.99)
                      << std::setw(9) << measured.notWon << std::setw(10) << measured.cpuMicrosecondsPerClaim << "\n";
        }
    }
}

template <typename Work>
static double microsecondsOf(int rounds, Work work)
{
    SystemClock clock;
    TimePoint begin = clock.now();
    for (int round = 0; round < rounds; ++round)
        work();
    std::chrono::duration<double, std::micro> took = clock.now() - begin;
    return took.count() / rounds;
}

static LedgerGeneration makeGeneration(std::size_t claims, std::uint64_t number)
{
    constexpr std::size_t claimants = 9;
    Random random(number);
    LedgerGeneration generation;
    generation.number = number;
    for (std::size_t index = 0; index < claims; ++index) {
        ClaimId id { absl::StrCat("entry-", index % claimants), 1'700'000'000'000 + index % claimants, 100'000 + index };
        generation.add({ { random.bits(), random.bits() }, random.bits(), id });
    }
    return generation;
}

static std::size_t bytesAllocated()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void printMemory()
{
    constexpr std::size_t claimsPerDocument = 1'450;
    LedgerLayout layout;
    StoreListing listing;
    for (unsigned slot = 0; slot < layout.slots; ++slot) {
        LedgerGeneration generation = makeGeneration(claimsPerDocument, slot);
        generation.isSealed = true;
        listing.values.push_back({ slotKey(layout, 0, slot), encodeGeneration(generation, layout.slots), 1 });
    }
    std::size_t before = bytesAllocated();
    auto view = LedgerView::fromListing(layout, 0, listing, TimePoint());
    std::size_t held = bytesAllocated() - before;
    std::size_t claims = claimsPerDocument * layout.slots;
    std::cout << (view.ok() ? "a shard of " : "failed: ") << claims << " claims holds " << held << " bytes in memory, "
              << held / claims << " a claim\n";
}

static void printDocuments()
{
    constexpr int rounds = 50;
    std::cout << "claims  bytes  bytes/claim  estimate  encode us  decode us\n";
    for (std::size_t claims : { 100, 1'000, 1'450, 10'000 }) {
        LedgerGeneration generation = makeGeneration(claims, 2);
        std::string bytes = encodeGeneration(generation, 8);
        double encode = microsecondsOf(rounds, [&] { encodeGeneration(generation, 8); });
        double decode = microsecondsOf(rounds, [&] { decodeGeneration(bytes, 8).IgnoreError(); });
        std::cout << std::fixed << std::setprecision(1) << std::setw(6) << claims << std::setw(8) << bytes.size()
                  << std::setw(10) << static_cast<double>(bytes.size()) / static_cast<double>(claims)
                  << std::setw(11) << maxEncodedBytes(generation) << std::setw(10) << encode << std::setw(11) << decode << "\n";
    }
}

int main()
{
    printLoads();
    printDocuments();
    printMemory();
}
