// Prints the traffic, CPU time and memory that gossip costs per instance.
// Use: GossipCost INSTANCES SERVERS [SECONDS [CHANGES_PER_SECOND [LOSS]]]
#include "Membership/Digest.h"
#include "Membership/GossipLoop.h"
#include "Wire/MembershipCodec.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace Membership;
using Common::Milliseconds;

namespace {

// Each server renews at this interval, at a random instance, as behind a load balancer.
constexpr size_t ticksPerRenewal = 40;
constexpr Milliseconds tick { 50 };
constexpr size_t ticksPerSecond = 20;

struct Load {
    size_t instances { 9 };
    size_t servers { 50 };
    size_t seconds { 20 };
    double changesPerSecond { 0 };
    double loss { 0 };
};

double cpuMilliseconds() { return 1'000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

size_t sizeOnWire(const GossipMessage& message)
{
    std::string bytes = Wire::encodeGossip({ message, Observe::LogicalTime(123'456) });
    if (!Wire::decodeGossip(bytes))
        std::abort();
    return bytes.size();
}

void introduceServers(GossipLoop& loop, const Load& load)
{
    for (size_t i = 0; i < load.servers; ++i) {
        ServerRecord record { announcement(i, 1), instanceId(i % load.instances) };
        for (auto& it : loop.instances())
            merge(it.state.directory, record, loop.now());
    }
}

// Server i renews, with the given index version of its first replica.
void renewOne(GossipLoop& loop, const Load& load, size_t i, uint64_t sequence, uint64_t version)
{
    Announcement it = announcement(i, sequence);
    it.replicas[0].version = Common::IndexVersion(version);
    receiveAnnouncement(loop.instance(loop.random().below(load.instances)).state, it, loop.now());
}

void runLoad(GossipLoop& loop, const Load& load)
{
    std::vector<uint64_t> versions(load.servers, 7);
    double changesDue = 0;
    uint64_t sequence = 1;
    for (size_t n = 0; n < load.seconds * ticksPerSecond; ++n) {
        ++sequence;
        for (size_t i = n % ticksPerRenewal; i < load.servers; i += ticksPerRenewal)
            renewOne(loop, load, i, sequence, versions[i]);
        for (changesDue += load.changesPerSecond / ticksPerSecond; changesDue >= 1; changesDue -= 1) {
            size_t i = loop.random().below(load.servers);
            renewOne(loop, load, i, ++sequence, ++versions[i]);
        }
        loop.runFor(tick);
    }
}

template <typename Function> double microsecondsOf(int rounds, Function&& fn)
{
    double start = cpuMilliseconds();
    for (int i = 0; i < rounds; ++i)
        fn();
    return (cpuMilliseconds() - start) * 1'000 / rounds;
}

void printCost(const char* name, GossipLoop& loop, const GossipMessage& message)
{
    constexpr int rounds = 2'000;
    Wire::GossipEnvelope envelope { message, Observe::LogicalTime(1) };
    std::string bytes = Wire::encodeGossip(envelope);
    GossipState& state = loop.instance(0).state;
    std::printf("  %s: %zu bytes, encode %.2f us, decode %.2f us, receive %.2f us\n", name, bytes.size(),
        microsecondsOf(rounds, [&] { Wire::encodeGossip(envelope); }),
        microsecondsOf(rounds, [&] { static_cast<void>(Wire::decodeGossip(bytes).has_value()); }),
        microsecondsOf(rounds, [&] { receiveGossip(state, message, loop.now()); }));
}

void printMessageCosts(GossipLoop& loop, const Load& load)
{
    GossipState& state = loop.instance(0).state;
    auto digest
        = [&] { return makeDigest(state.directory, state.quarantine, state.settings.directory, loop.now()).root; };
    GossipMessage probe;
    probe.from = instanceId(1);
    probe.digest = digest();
    probe.wantsReply = true;
    printCost("probe", loop, probe);
    GossipMessage push;
    push.from = instanceId(1);
    push.records.emplace_back(state.directory.servers.begin()->second.record);
    printCost("push of one server", loop, push);
    std::printf("  digest of %zu records: %.1f us\n", load.servers + load.instances, microsecondsOf(100, digest));
}

} // namespace

int main(int argc, char** argv)
{
    Load load;
    load.instances = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : load.instances;
    load.servers = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : load.servers;
    load.seconds = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : load.seconds;
    load.changesPerSecond = argc > 4 ? std::strtod(argv[4], nullptr) : load.changesPerSecond;
    load.loss = argc > 5 ? std::strtod(argv[5], nullptr) : load.loss;

    GossipLoop loop({ .instances = load.instances, .seed = 1, .loss = load.loss });
    size_t heapBefore = heapBytes();
    introduceServers(loop, load);
    double bytesPerRecord = static_cast<double>(heapBytes() - heapBefore)
        / static_cast<double>(std::max<size_t>(1, load.instances * load.servers));
    loop.runFor(Milliseconds(2'000));
    loop.sizeOf = sizeOnWire;
    for (auto& it : loop.instances())
        it.messagesSent = 0;

    double start = cpuMilliseconds();
    runLoad(loop, load);
    double milliseconds = cpuMilliseconds() - start;
    uint64_t bytes = 0;
    uint64_t maximumBytes = 0;
    uint64_t messages = 0;
    for (auto& it : loop.instances()) {
        bytes += it.bytesSent;
        maximumBytes = std::max(maximumBytes, it.bytesSent);
        messages += it.messagesSent;
    }
    auto seconds = static_cast<double>(load.seconds);
    auto instanceSeconds = seconds * static_cast<double>(load.instances);
    std::printf("%zu instances, %zu servers, %.1f changes/s, loss %.2f: %.0f bytes/s sent per instance (most %.0f), "
                "%.2f messages/s, CPU %.3f ms/s per instance, %.0f bytes of memory per server record\n",
        load.instances, load.servers, load.changesPerSecond, load.loss, static_cast<double>(bytes) / instanceSeconds,
        static_cast<double>(maximumBytes) / seconds, static_cast<double>(messages) / instanceSeconds,
        milliseconds / instanceSeconds, bytesPerRecord);
    printMessageCosts(loop, load);
    return 0;
}
