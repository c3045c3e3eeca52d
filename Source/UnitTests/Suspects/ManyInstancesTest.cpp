#include "Suspects/Board.h"

#include "Common/Random.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

// Relays and control instances that exchange evidence late, over lossy links, while they restart. One request crashes
// each server that runs it and comes again at random relays; others are in flight on the same servers.

using namespace Suspects;
using Common::BackendServerId;
using Common::GroupName;
using Common::Incarnation;
using Common::Milliseconds;
using Common::Random;
using Common::RequestId;
using Common::Revision;
using Common::TimePoint;

namespace {

constexpr double tick = 50;
constexpr double contact = 4'000;
constexpr double length = 30'000;
constexpr int allowedResends = 3;
const GroupName group { "g" };

struct Instance {
    std::unique_ptr<Board> board { std::make_unique<Board>() };
    uint64_t starts { 1 };
    bool isCut { false };
};

// What one instance has of another one's evidence.
struct Link {
    size_t from { 0 };
    size_t to { 0 };
    Scope scope { Scope::All };
    std::vector<Revision> known;
    uint64_t fromStarts { 0 };
    uint64_t toStarts { 0 };
};

struct World {
    Random random;
    size_t relays;
    std::vector<Instance> instances; // The relays, then the control instances.
    std::vector<Link> links;
    uint64_t nextRequest { 1 };
    uint64_t nextServer { 1 };
    TimePoint now;

    World(uint64_t seed, size_t relayCount, size_t controls)
        : random(seed)
        , relays(relayCount)
        , instances(relayCount + controls)
    {
        for (size_t relay = 0; relay < relays; ++relay) {
            size_t control = relays + relay % controls;
            links.push_back({ relay, control, Scope::All, {}, 0, 0 });
            links.push_back({ control, relay, Scope::Suspected, {}, 0, 0 });
        }
        for (size_t a = relays; a < instances.size(); ++a) {
            for (size_t b = relays; b < instances.size(); ++b) {
                if (a != b)
                    links.push_back({ a, b, Scope::All, {}, 0, 0 });
            }
        }
    }

    void restart(size_t index)
    {
        instances[index].board = std::make_unique<Board>();
        ++instances[index].starts;
    }

    // Each link carries a message in a third of the ticks, if neither end is cut.
    void exchange()
    {
        for (Link& link : links) {
            Instance& from = instances[link.from];
            Instance& to = instances[link.to];
            if (from.isCut || to.isCut || !random.chance(0.33))
                continue;
            if (link.fromStarts != from.starts || link.toStarts != to.starts)
                link.known.clear();
            link.fromStarts = from.starts;
            link.toStarts = to.starts;
            auto changes = from.board->changesSince(link.known, link.scope, now);
            to.board->merge(changes.records, link.from < relays ? Reporter::Relay : Reporter::Control, now);
            link.known = changes.revisions;
        }
    }

    bool maySend(size_t relay, const Keys& keys, const GroupName& target, bool isFirst) const
    {
        return Suspects::maySend(instances[relay].board->verdictsOn(keys, now), target, isFirst);
    }

    void lose(size_t relay, const Keys& keys, const GroupName& target, const RequestId& request, bool isRetry,
        uint64_t server)
    {
        instances[relay].board->addStrike(keys,
            { BackendServerId(std::to_string(server)), Incarnation(1), target, Common::FailureDomain(),
                runOf(request, isRetry), VariantId(), now, now, false, false, false, std::nullopt });
    }
};

struct Outcome {
    std::vector<double> crashes;
    int late { 0 }; // Resends that reached servers later than the contact time after the third crash.
    int innocentSends { 0 };
    int innocentRefused { 0 };
};

struct Options {
    bool hasRestarts { false };
    bool cutsOneRelay { false }; // It is not in touch, so its sends do not count as late.
    double innocentInterval { tick }; // Between two sends of the same innocent request.
    double nextCrashingAfter { length }; // Then another request crashes servers.
    uint64_t variants { 1 }; // Of the query of the crashing request.
    uint64_t groups { 1 }; // That the crashing request is sent to, and loses servers of.
    bool isShared { false }; // The innocent requests come from other addresses and are otherwise the same.
};

// A request from this address: its path and body have the number `text`.
Keys keysOf(uint64_t address, uint64_t text, uint64_t query)
{
    return Suspects::keysOf(
        { std::to_string(address), "", "GET", "h", std::to_string(text) + "?" + std::to_string(query), "" });
}

Outcome play(uint64_t seed, size_t relays, const Options& options)
{
    World world(seed, relays, 5);
    Outcome outcome;
    if (options.cutsOneRelay)
        world.instances[0].isCut = true;
    double nextInnocent = 0;
    for (double ms = 0; ms < length; ms += tick) {
        world.now = TimePoint(Milliseconds(ms));
        if (options.hasRestarts && world.random.chance(0.02))
            world.restart(world.random.below(world.instances.size()));
        uint64_t lost = 0;
        if (std::fmod(ms, 400) < tick) {
            size_t relay = world.random.below(relays);
            RequestId request(std::to_string(world.nextRequest++));
            bool hasReached = false;
            auto number = static_cast<uint64_t>(ms / options.nextCrashingAfter) + 1;
            const Keys crashing = keysOf(1, number, world.random.below(options.variants));
            for (bool isRetry : { false, true }) {
                for (uint64_t n = 0; n < options.groups; ++n) {
                    GroupName target(n ? "g" + std::to_string(n) : "g");
                    if (!world.maySend(relay, crashing, target, !isRetry))
                        continue;
                    hasReached = true;
                    lost = world.nextServer++;
                    world.lose(relay, crashing, target, request, isRetry, lost);
                    outcome.crashes.push_back(ms);
                }
            }
            bool isLate = outcome.crashes.size() > 2 && ms > outcome.crashes[2] + contact;
            outcome.late += isLate && hasReached && !world.instances[relay].isCut ? 1 : 0;
        }
        for (uint64_t n = 0; ms >= nextInnocent && n < 4; ++n) {
            const Keys content = options.isShared ? keysOf(2 + n, 1, 0) : keysOf(2, 100 + n, 0);
            size_t relay = world.random.below(relays);
            ++outcome.innocentSends;
            if (!world.maySend(relay, content, group, true)) {
                ++outcome.innocentRefused;
                continue;
            }
            if (lost && world.random.chance(0.5)) {
                world.lose(relay, content, group, RequestId(std::to_string(world.nextRequest++)), false, lost);
                continue;
            }
            world.instances[relay].board->recordAnswer(content, group, world.now, world.now);
        }
        if (ms >= nextInnocent)
            nextInnocent += options.innocentInterval;
        world.exchange();
    }
    return outcome;
}

int seedCount()
{
    const char* text = std::getenv("CORIANDERLOCK_RUNS");
    return text ? std::atoi(text) : 40;
}

} // namespace

TEST(ManyInstances, ARequestThatCrashesServersIsStoppedEverywhere)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        for (size_t relays : { 3, 9, 40 }) {
            Outcome outcome = play(static_cast<uint64_t>(seed), relays, {});
            EXPECT_LE(outcome.late, allowedResends) << "seed " << seed << ", relays " << relays;
            EXPECT_GE(outcome.crashes.size(), 3u);
            EXPECT_LE(outcome.crashes.size(), 8u) << "seed " << seed << ", relays " << relays;
        }
    }
}

TEST(ManyInstances, ARequestThatChangesItsQueryIsStoppedEverywhere)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        for (uint64_t variants : { 2, 5, 1'000'000 }) {
            Options options;
            options.variants = variants;
            options.hasRestarts = seed % 2 == 0;
            Outcome outcome = play(static_cast<uint64_t>(seed), 9, options);
            EXPECT_LE(outcome.late, allowedResends) << "seed " << seed << ", variants " << variants;
            EXPECT_LE(outcome.crashes.size(), 16u) << "seed " << seed << ", variants " << variants;
        }
    }
}

TEST(ManyInstances, ARequestThatCrashesServersOfManyGroupsIsStoppedEverywhere)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        for (uint64_t groups : { 20, 90 }) {
            Options options;
            options.groups = groups;
            options.hasRestarts = seed % 2 == 0;
            Outcome outcome = play(static_cast<uint64_t>(seed), 9, options);
            EXPECT_LE(outcome.late, allowedResends) << "seed " << seed << ", groups " << groups;
        }
    }
}

TEST(ManyInstances, ARequestThatOthersSendTooIsStoppedAndTheirsAreServed)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        Options options;
        options.isShared = true;
        Outcome outcome = play(static_cast<uint64_t>(seed), 9, options);
        EXPECT_LE(outcome.late, allowedResends) << "seed " << seed;
        EXPECT_LE(outcome.innocentRefused, outcome.innocentSends / 100) << "seed " << seed;
    }
}

TEST(ManyInstances, RestartsOfRelaysAndControlInstancesForgetNothing)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        Outcome outcome = play(static_cast<uint64_t>(seed), 9, { true, false, tick });
        EXPECT_LE(outcome.late, allowedResends) << "seed " << seed;
    }
}

TEST(ManyInstances, ARelayThatReachesNobodyIsBoundedByWhatItKnowsItself)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        Outcome outcome = play(static_cast<uint64_t>(seed), 9, { false, true, tick });
        EXPECT_LE(outcome.late, allowedResends) << "seed " << seed;
        EXPECT_LE(outcome.crashes.size(), 12u) << "seed " << seed;
    }
}

TEST(ManyInstances, InnocentRequestsOnTheSameServersAreServed)
{
    for (double interval : { tick, 1'000.0, 5'000.0 }) {
        int sends = 0;
        int refused = 0;
        for (int seed = 1; seed <= seedCount(); ++seed) {
            Outcome outcome = play(static_cast<uint64_t>(seed), 9, { true, false, interval, 1'500 });
            sends += outcome.innocentSends;
            refused += outcome.innocentRefused;
        }
        EXPECT_LE(refused, sends / 100) << refused << " of " << sends << " refused at an interval of " << interval;
    }
}
