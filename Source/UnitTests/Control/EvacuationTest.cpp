#include "Control/Configuration.h"
#include "Control/Follower.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Control;
using Common::FailureDomain;
using Common::Revision;

namespace {

Change assign(const std::string& id, const char* domain, bool isEvacuated)
{
    Model::DomainEvacuation evacuation { FailureDomain(domain), isEvacuated };
    return { Common::ChangeId(id), Action::Assign, Model::keyOf(evacuation), evacuation, Revision() };
}

Change assignFrom(const std::string& id, const char* domain, bool isEvacuated, uint64_t madeFrom)
{
    Change change = assign(id, domain, isEvacuated);
    change.action = Action::AssignFrom;
    change.madeFrom = Revision(madeFrom);
    return change;
}

uint64_t acceptedAt(const ChangeOutcome& outcome)
{
    const auto* accepted = std::get_if<Accepted>(&outcome);
    return accepted ? accepted->revision.value() : 0;
}

using Domains = std::vector<FailureDomain>;

} // namespace

// Guards against a resend that takes effect twice, or is refused for the version that the first send made.
TEST(Evacuation, AssignIsIdempotent)
{
    Configuration configuration;
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("1", "a", true))), 1u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("1", "a", true))), 1u) << "the same request";
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("2", "a", true))), 1u) << "a resend as a new request";
    EXPECT_EQ(configuration.revision, Revision(1));
    EXPECT_EQ(evacuations(configuration), (Evacuations { Revision(1), Domains { FailureDomain("a") } }));
}

// Guards against a command that is refused, or remembered as done, because an opposite one is in the log between.
TEST(Evacuation, TheLastCommandInTheLogIsInForce)
{
    Configuration configuration;
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("1", "a", true))), 1u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("2", "a", false))), 2u);
    EXPECT_EQ(evacuations(configuration), (Evacuations { Revision(2), {} }));
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("3", "a", true))), 3u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("4", "b", true))), 4u);
    EXPECT_EQ(
        evacuations(configuration), (Evacuations { Revision(4), Domains { FailureDomain("a"), FailureDomain("b") } }));
}

// Guards against a command that was held up and undoes one that was acknowledged later.
TEST(Evacuation, ACommandThatWasOvertakenIsRefused)
{
    Configuration configuration;
    EXPECT_EQ(acceptedAt(applyChange(configuration, assignFrom("1", "a", true, 0))), 1u);
    EXPECT_FALSE(acceptedAt(applyChange(configuration, assignFrom("2", "a", false, 0)))) << "made from no command";
    EXPECT_EQ(acceptedAt(applyChange(configuration, assignFrom("3", "a", true, 1))), 2u) << "an equal one counts too";
    auto late = applyChange(configuration, assignFrom("4", "a", false, 1));
    ASSERT_TRUE(std::holds_alternative<Rejected>(late));
    EXPECT_EQ(std::get<Rejected>(late).winner->version, Revision(2)) << "for a caller who still waits";
    EXPECT_EQ(acceptedAt(applyChange(configuration, assignFrom("5", "b", true, 0))), 3u) << "another domain";
    EXPECT_EQ(acceptedAt(applyChange(configuration, assignFrom("6", "a", false, 2))), 4u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, assignFrom("6", "a", false, 2))), 4u) << "the same proposal";
    EXPECT_EQ(evacuations(configuration), (Evacuations { Revision(4), { FailureDomain("b") } }));
}

// Guards against a name or an action that stores what no process can use.
TEST(Evacuation, InvalidCommandsChangeNothing)
{
    Configuration configuration;
    EXPECT_FALSE(acceptedAt(applyChange(configuration, assign("1", "", true))));
    EXPECT_FALSE(acceptedAt(applyChange(configuration, assign("2", "a\nb", true))));
    Change versioned = assign("3", "a", true);
    versioned.madeFrom = Revision(1);
    EXPECT_FALSE(acceptedAt(applyChange(configuration, versioned)));
    Change created = assign("4", "a", true);
    created.action = Action::Create;
    EXPECT_FALSE(acceptedAt(applyChange(configuration, created)));
    Change table = assign("5", "a", true);
    table.resource = Model::RouteTable { Common::TableNumber(1), "x" };
    table.key = Model::keyOf(*table.resource);
    EXPECT_FALSE(acceptedAt(applyChange(configuration, table)));
    EXPECT_EQ(configuration.revision, Revision(0));
    EXPECT_EQ(acceptedAt(applyChange(configuration, assign("6", "nagy város", true))), 1u);
}

// Guards against two commands with one fingerprint: the second one would get the outcome of the first.
TEST(Evacuation, CommandsHaveDistinctFingerprints)
{
    EXPECT_NE(fingerprintOf(assign("1", "a", true)), fingerprintOf(assign("1", "a", false)));
    EXPECT_NE(fingerprintOf(assign("1", "a", true)), fingerprintOf(assign("1", "b", true)));
}

// Guards against replicas or followers that disagree after a lag, a full copy, or changes that arrive twice.
RC_GTEST_PROP(Evacuation, FollowersThatMergeInAnyBatchesAgree, ())
{
    Configuration configuration;
    configuration.limits = { 8, *rc::gen::inRange<uint64_t>(1, 8) };
    Configuration replica = configuration;
    std::vector<Follower> followers(3);
    std::vector<Changes> delayed;
    std::map<FailureDomain, bool> expected;
    const char* const domains[] = { "a", "b", "c" };
    int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
        const char* domain = domains[*rc::gen::inRange(0, 3)];
        bool isEvacuated = *rc::gen::arbitrary<bool>();
        Change change = assign(std::to_string(i), domain, isEvacuated);
        RC_ASSERT(acceptedAt(applyChange(configuration, change)) > 0u);
        RC_ASSERT(acceptedAt(applyChange(replica, change)) > 0u);
        expected[FailureDomain(domain)] = isEvacuated;
        Follower& follower = followers[*rc::gen::inRange<size_t>(0, followers.size())];
        if (*rc::gen::arbitrary<bool>())
            delayed.push_back(changesSince(configuration, follower.revision));
        if (!delayed.empty() && *rc::gen::arbitrary<bool>())
            follow(follower, delayed[*rc::gen::inRange<size_t>(0, delayed.size())]);
    }
    Domains evacuated;
    for (auto& [domain, isEvacuated] : expected) {
        if (isEvacuated)
            evacuated.push_back(domain);
    }
    RC_ASSERT(evacuations(configuration).domains == evacuated);
    RC_ASSERT(evacuations(replica) == evacuations(configuration));
    for (Follower& follower : followers) {
        follow(follower, changesSince(configuration, follower.revision));
        RC_ASSERT(follower.resources == configuration.resources);
    }
}
