#include "Load/Generator.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace Load {

namespace {

    constexpr size_t shardCount = 16;
    constexpr Common::Milliseconds drainMargin { 2000 };

    // Sharded to reduce lock contention between the threads that deliver answers.
    struct SampleShard {
        std::mutex mutex;
        std::vector<Sample> samples;
    };

    // State of one run. Callbacks share ownership, because they may run after generate() has returned.
    struct Run : std::enable_shared_from_this<Run> {
        Run(const Options& o, Transport t)
            : options(o)
            , transport(std::move(t))
            , startedAt(Common::Clock::now())
        {
        }

        Common::Milliseconds elapsed() const { return Common::Clock::now() - startedAt; }
        bool tryAcquireSlot();
        void releaseSlot();
        void send(const Arrival&, Sample);
        void handleResult(const Arrival&, Sample, AttemptResult);
        uint64_t waitForOutstanding();
        std::vector<Sample> takeSamples();

        const Options options;
        const Transport transport;
        const Common::TimePoint startedAt;
        std::array<SampleShard, shardCount> shards;

        std::mutex mutex; // Guards all below.
        std::condition_variable idle;
        uint64_t inFlight { 0 };
    };

    // Returns false if maximumInFlight requests are in flight.
    bool Run::tryAcquireSlot()
    {
        std::lock_guard lock(mutex);
        if (inFlight >= options.maximumInFlight)
            return false;
        ++inFlight;
        return true;
    }

    void Run::releaseSlot()
    {
        std::lock_guard lock(mutex);
        if (!--inFlight)
            idle.notify_all();
    }

    void Run::send(const Arrival& arrival, Sample sample)
    {
        const size_t entry = (arrival.entry + sample.resends) % options.entries.size();
        const Attempt attempt { options.entries[entry], arrival.request, options.queries[arrival.query] };
        transport.send(attempt, [self = shared_from_this(), arrival, sample = std::move(sample)](AttemptResult result) {
            self->handleResult(arrival, sample, std::move(result));
        });
    }

    void Run::handleResult(const Arrival& arrival, Sample sample, AttemptResult result)
    {
        const bool isLost = !result.status && result.outcome == Outcome::Unknown;
        if (options.mode == Mode::Booking && isLost && sample.resends < options.maximumResends) {
            ++sample.resends;
            return send(arrival, std::move(sample));
        }
        sample.endedAt = elapsed();
        sample.status = result.status;
        sample.reason = std::move(result.reason);
        sample.outcome = result.outcome;
        sample.complete = result.complete;
        sample.coverage = result.coverage;
        SampleShard& shard = shards[std::hash<Common::RequestId> {}(sample.request) % shardCount];
        {
            std::lock_guard lock(shard.mutex);
            shard.samples.push_back(std::move(sample));
        }
        releaseSlot();
    }

    // Waits with a timeout. Returns the number of requests that are still in flight.
    uint64_t Run::waitForOutstanding()
    {
        const auto timeout = options.timeout * (options.maximumResends + 1) + drainMargin;
        std::unique_lock lock(mutex);
        idle.wait_for(lock, Common::Clock::toChrono(timeout), [&] { return !inFlight; });
        return inFlight;
    }

    std::vector<Sample> Run::takeSamples()
    {
        std::vector<Sample> all;
        for (SampleShard& shard : shards) {
            std::lock_guard lock(shard.mutex);
            std::move(shard.samples.begin(), shard.samples.end(), std::back_inserter(all));
            shard.samples.clear();
        }
        return all;
    }

    void sleepUntilDue(const Run& run, Common::Milliseconds at)
    {
        const Common::Milliseconds left = at - run.elapsed();
        if (left.value() > 0)
            std::this_thread::sleep_for(Common::Clock::toChrono(left));
    }

} // namespace

Report generate(const Options& options, const Transport& transport)
{
    const std::vector<Arrival> arrivals = schedule(options);
    auto run = std::make_shared<Run>(options, transport);
    Report report;
    report.scheduled = arrivals.size();
    report.duration = options.duration;
    for (const Arrival& arrival : arrivals) {
        sleepUntilDue(*run, arrival.at);
        if (!run->tryAcquireSlot()) {
            ++report.notSent;
            continue;
        }
        ++report.sent;
        report.latestSend = std::max(report.latestSend, run->elapsed() - arrival.at);
        Sample sample;
        sample.request = arrival.request;
        sample.intendedAt = arrival.at;
        run->send(arrival, std::move(sample));
    }
    report.unfinished = run->waitForOutstanding();
    auto samples = run->takeSamples();
    addSamples(report, samples);
    if (options.mode == Mode::Booking)
        report.bookings = std::move(samples);
    return report;
}

} // namespace Load
