#include "Control/Configuration.h"

#include "Control/Follower.h"
#include "Control/RandomChanges.h"

#include <gtest/gtest.h>

#include <map>

using namespace Control;
using Common::Reason;
using Common::Revision;

namespace {

const Model::BackendGroup group { Common::GroupName("foglalas") };
const Model::IndexVersionMap indexVersion { group.name, Common::IndexVersion(1),
    { { Common::ShardId(0), { 0, Common::keySpaceSize } } } };
const Model::QueryRoute route { Common::RouteName("free-slots"), group.name, Model::RouteKind::Lookup,
    indexVersion.version };

Change create(const char* id, const Model::Resource& resource)
{
    return { Common::ChangeId(id), Action::Create, Model::keyOf(resource), resource, Revision() };
}

Change replace(const char* id, const Model::Resource& resource, uint64_t madeFrom)
{
    return { Common::ChangeId(id), Action::Replace, Model::keyOf(resource), resource, Revision(madeFrom) };
}

Change remove(const char* id, const Model::Resource& resource, uint64_t madeFrom)
{
    return { Common::ChangeId(id), Action::Delete, Model::keyOf(resource), std::nullopt, Revision(madeFrom) };
}

uint64_t acceptedAt(const ChangeOutcome& outcome)
{
    const auto* accepted = std::get_if<Accepted>(&outcome);
    return accepted ? accepted->revision.value() : 0;
}

const Rejected& rejected(const ChangeOutcome& outcome) { return std::get<Rejected>(outcome); }

std::string messageOf(const ChangeOutcome& outcome)
{
    return acceptedAt(outcome) ? "" : describe(rejected(outcome).error);
}

bool equal(const ChangeOutcome& a, const ChangeOutcome& b)
{
    if (acceptedAt(a) || acceptedAt(b))
        return acceptedAt(a) == acceptedAt(b);
    return messageOf(a) == messageOf(b) && rejected(a).winner == rejected(b).winner
        && rejected(a).winnerChange == rejected(b).winnerChange;
}

// A naive model that keeps every change id and the full state at each revision, and checks references by brute force.
class NaiveConfiguration {
public:
    using State = std::map<Model::ResourceKey, StoredResource>;

    NaiveConfiguration() { states.emplace_back(); }

    // Returns whether a change with a new id must be accepted.
    bool accepts(const Change& change) const
    {
        if (change.action == Action::Assign)
            return !change.madeFrom.value();
        auto it = states.back().find(change.key);
        bool exists = it != states.back().end();
        if (change.action == Action::AssignFrom)
            return change.madeFrom == (exists ? it->second.version : Revision());
        if (change.action == Action::Create ? exists || change.madeFrom.value() : !exists)
            return false;
        if (exists && it->second.version != change.madeFrom)
            return false;
        State after = states.back();
        put(after, change, Revision(states.size()));
        return hasValidReferences(after);
    }

    // Returns the stored resource if the change assigns an equal one, and so has no effect.
    const StoredResource* findAssigned(const Change& change) const
    {
        auto it = states.back().find(change.key);
        bool isSame = change.action == Action::Assign && !change.madeFrom.value() && it != states.back().end()
            && it->second.resource == change.resource;
        return isSame ? &it->second : nullptr;
    }

    void accept(const Change& change)
    {
        states.push_back(states.back());
        put(states.back(), change, Revision(states.size() - 1));
    }

    std::vector<State> states; // Indexed by revision.
    std::map<Common::ChangeId, std::pair<Change, ChangeOutcome>> first;

private:
    static void put(State& state, const Change& change, Revision revision)
    {
        state.erase(change.key);
        if (change.resource)
            state[change.key] = { *change.resource, revision, change.id };
    }

    static bool hasValidReferences(const State& state)
    {
        auto has = [&](Model::Kind kind, const std::string& name) { return state.contains({ kind, name }); };
        for (const auto& [key, stored] : state) {
            if (const auto* it = std::get_if<Model::QueryRoute>(&stored.resource)) {
                bool isLookup = it->kind == Model::RouteKind::Lookup;
                std::string index = Model::indexVersionName(it->group, it->version);
                if (!has(Model::Kind::BackendGroup, it->group.value())
                    || (isLookup && !has(Model::Kind::IndexVersion, index)))
                    return false;
            }
            if (const auto* it = std::get_if<Model::IndexVersionMap>(&stored.resource)) {
                if (!has(Model::Kind::BackendGroup, it->group.value()))
                    return false;
            }
        }
        return true;
    }
};

class Differential {
public:
    explicit Differential(uint64_t seed)
        : m_changes(seed)
    {
        m_configuration.limits = { 100'000, 8 };
        m_seen = m_lagging = m_configuration;
    }

    void step()
    {
        Change change = m_changes.next(m_seen);
        ChangeOutcome outcome = applyChange(m_configuration, change);
        compare(change, outcome);
        if (m_changes.random().chance(0.3))
            m_seen = m_configuration;
        if (m_changes.random().chance(0.02))
            rebuildIndexes(m_configuration);
        for (Follower& follower : m_followers)
            maybeFollow(follower);
    }

    uint64_t accepted() const { return m_configuration.revision.value(); }
    uint64_t wholeCopies { 0 };
    uint64_t conflicts { 0 };

private:
    void compare(const Change& change, const ChangeOutcome& outcome)
    {
        auto [it, isNew] = m_naive.first.try_emplace(change.id, change, outcome);
        if (!isNew && it->second.first == change) {
            EXPECT_TRUE(equal(outcome, it->second.second)) << "a resent change got another answer";
            return;
        }
        if (!isNew) {
            EXPECT_EQ(rejected(outcome).error.reason, Reason::Conflict);
            return;
        }
        if (const StoredResource* same = m_naive.findAssigned(change)) {
            EXPECT_EQ(acceptedAt(outcome), same->version.value()) << messageOf(outcome);
            EXPECT_EQ(m_configuration.resources, m_naive.states.back());
            return;
        }
        EXPECT_EQ(acceptedAt(outcome) != 0, m_naive.accepts(change)) << messageOf(outcome);
        if (acceptedAt(outcome)) {
            m_naive.accept(change);
            EXPECT_EQ(acceptedAt(outcome), m_naive.states.size() - 1);
        } else if (rejected(outcome).error.reason == Reason::Conflict) {
            ++conflicts;
            compareWinner(change, rejected(outcome));
        }
        EXPECT_EQ(m_configuration.resources, m_naive.states.back());
    }

    void compareWinner(const Change& change, const Rejected& loser)
    {
        auto it = m_naive.states.back().find(change.key);
        bool exists = it != m_naive.states.back().end();
        EXPECT_EQ(loser.winner.has_value(), exists);
        EXPECT_TRUE(loser.winnerChange);
        EXPECT_TRUE(!exists || loser.winner == it->second);
    }

    // Followers request changes from replicas that may lag, and may receive responses out of order.
    void maybeFollow(Follower& follower)
    {
        if (!m_changes.random().chance(0.2))
            return;
        bool readsLagging = m_changes.random().chance(0.3);
        Revision from = follower.revision;
        if (from.value() && m_changes.random().chance(0.2))
            from -= Revision(1);
        Changes changes = changesSince(readsLagging ? m_lagging : m_configuration, from);
        wholeCopies += changes.whole;
        EXPECT_NE(follow(follower, changes), FollowResult::Gap);
        EXPECT_EQ(follower.resources, m_naive.states[follower.revision.value()]);
        if (m_changes.random().chance(0.1))
            m_lagging = m_configuration;
        if (m_changes.random().chance(0.02))
            follower = {};
    }

    RandomChanges m_changes;
    Configuration m_configuration;
    Configuration m_seen;
    Configuration m_lagging;
    NaiveConfiguration m_naive;
    std::vector<Follower> m_followers { 3 };
};

} // namespace

TEST(Configuration, AgreesWithNaiveModelOnRandomSchedules)
{
    uint64_t accepted = 0;
    uint64_t conflicts = 0;
    uint64_t wholeCopies = 0;
    for (uint64_t seed = 1; seed <= 30 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        Differential run(seed);
        for (int i = 0; i < 1'000 && !HasFailure(); ++i)
            run.step();
        accepted += run.accepted();
        conflicts += run.conflicts;
        wholeCopies += run.wholeCopies;
    }
    std::cout << "accepted " << accepted << ", conflicts " << conflicts << ", whole copies " << wholeCopies << "\n";
    EXPECT_GT(accepted, 5'000u);
    EXPECT_GT(conflicts, 1'000u);
    EXPECT_GT(wholeCopies, 500u);
}

TEST(Configuration, FirstChangeOfAVersionWinsAndOthersSeeTheWinner)
{
    Configuration configuration;
    EXPECT_EQ(acceptedAt(applyChange(configuration, create("1", group))), 1u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, replace("2", group, 1))), 2u);
    ChangeOutcome lost = applyChange(configuration, replace("3", group, 1));
    EXPECT_EQ(rejected(lost).error.reason, Reason::Conflict);
    EXPECT_EQ(rejected(lost).winner->version, Revision(2));
    EXPECT_EQ(rejected(lost).winnerChange, Common::ChangeId("2"));
    EXPECT_EQ(acceptedAt(applyChange(configuration, remove("4", group, 2))), 3u);
    lost = applyChange(configuration, replace("5", group, 2));
    EXPECT_EQ(rejected(lost).error.reason, Reason::Conflict);
    EXPECT_FALSE(rejected(lost).winner);
    EXPECT_EQ(rejected(lost).winnerChange, Common::ChangeId("4"));
    EXPECT_EQ(rejected(applyChange(configuration, remove("6", group, 2))).error.reason, Reason::NotFound);
}

TEST(Configuration, AResentChangeGetsItsFirstOutcome)
{
    Configuration configuration;
    Change first = create("1", group);
    EXPECT_EQ(acceptedAt(applyChange(configuration, first)), 1u);
    ChangeOutcome lost = applyChange(configuration, create("2", group));
    applyChange(configuration, remove("3", group, 1));
    EXPECT_EQ(acceptedAt(applyChange(configuration, first)), 1u);
    EXPECT_TRUE(equal(applyChange(configuration, create("2", group)), lost));
    EXPECT_TRUE(configuration.resources.empty());
    ChangeOutcome reused = applyChange(configuration, remove("1", group, 1));
    EXPECT_EQ(rejected(reused).error.reason, Reason::Conflict);
}

TEST(Configuration, OnlyTheLatestChangeIdsAreRemembered)
{
    Configuration configuration;
    configuration.limits.rememberedChanges = 2;
    applyChange(configuration, create("1", group));
    applyChange(configuration, replace("2", group, 1));
    applyChange(configuration, replace("3", group, 2));
    EXPECT_EQ(configuration.remembered.size(), 2u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, replace("3", group, 2))), 3u);
    ChangeOutcome old = applyChange(configuration, create("1", group));
    EXPECT_EQ(rejected(old).winnerChange, Common::ChangeId("3"));
}

TEST(Configuration, ReferenceErrorsNameTheField)
{
    Configuration configuration;
    EXPECT_NE(messageOf(applyChange(configuration, create("1", route))).find("field group"), std::string::npos);
    EXPECT_NE(messageOf(applyChange(configuration, create("2", indexVersion))).find("field group"), std::string::npos);
    applyChange(configuration, create("3", group));
    EXPECT_NE(messageOf(applyChange(configuration, create("4", route))).find("field version"), std::string::npos);
    EXPECT_EQ(messageOf(applyChange(configuration, create("5", indexVersion))), "");
    EXPECT_EQ(messageOf(applyChange(configuration, create("6", route))), "");
    EXPECT_NE(messageOf(applyChange(configuration, remove("7", group, 1))).find("field group of"), std::string::npos);
    std::string inUse = messageOf(applyChange(configuration, remove("8", indexVersion, 2)));
    EXPECT_NE(inUse.find("field version of query-route 'free-slots'"), std::string::npos);
}

TEST(Configuration, AnInconsistentChangeIsRejected)
{
    Configuration configuration;
    applyChange(configuration, create("1", group));
    Change renamed = replace("2", group, 1);
    renamed.resource = Model::BackendGroup { Common::GroupName("other") };
    EXPECT_NE(messageOf(applyChange(configuration, renamed)).find("field name"), std::string::npos);
    Change empty = replace("3", group, 1);
    empty.resource.reset();
    EXPECT_NE(messageOf(applyChange(configuration, empty)).find("field resource"), std::string::npos);
    EXPECT_NE(messageOf(applyChange(configuration, replace("4", group, 0))).find("made_from"), std::string::npos);
    EXPECT_NE(messageOf(applyChange(configuration, create("", group))).find("change_id"), std::string::npos);
    EXPECT_EQ(configuration.revision, Revision(1));
}

TEST(Follower, ReportsGapsAndIgnoresOlderRevisions)
{
    Follower follower;
    EXPECT_EQ(follow(follower, { false, Revision(3), Revision(4), {} }), FollowResult::Gap);
    EXPECT_EQ(follow(follower, { true, Revision(), Revision(5), {} }), FollowResult::Applied);
    EXPECT_EQ(follow(follower, { true, Revision(), Revision(4), {} }), FollowResult::Ignored);
    EXPECT_EQ(follower.revision, Revision(5));
}

namespace {

Change raise(const char* id, uint64_t number, const char* document)
{
    Model::RouteTable table { Common::TableNumber(number), document };
    return { Common::ChangeId(id), Action::Raise, Model::keyOf(table), table, Revision() };
}

const Model::RouteTable& tableOf(const Configuration& configuration)
{
    auto stored = find(configuration, { Model::Kind::RouteTable, Model::routeTableName });
    return std::get<Model::RouteTable>(stored->resource);
}

} // namespace

TEST(RouteTable, TheHighestNumberIsInForce)
{
    Configuration configuration;
    EXPECT_EQ(acceptedAt(applyChange(configuration, raise("a", 7, "seven"))), 1u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, raise("b", 12, "twelve"))), 2u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, raise("c", 9, "late"))), 2u) << "acknowledged, without effect";
    EXPECT_EQ(tableOf(configuration).document, "twelve");
}

TEST(RouteTable, AnotherDocumentUnderTheSameNumberHasNoEffect)
{
    Configuration configuration;
    applyChange(configuration, raise("a", 7, "seven"));
    EXPECT_EQ(acceptedAt(applyChange(configuration, raise("b", 7, "other"))), 1u);
    EXPECT_EQ(acceptedAt(applyChange(configuration, raise("a", 7, "seven"))), 1u) << "a resend";
    EXPECT_EQ(tableOf(configuration).document, "seven");
    EXPECT_EQ(configuration.revision, Revision(1));
}

TEST(RouteTable, RaiseIsForRouteTablesOnly)
{
    Configuration configuration;
    Model::RouteTable table { Common::TableNumber(1), "x" };
    EXPECT_FALSE(acceptedAt(applyChange(configuration, create("a", table))));
    Change wrong = create("b", group);
    wrong.action = Action::Raise;
    EXPECT_FALSE(acceptedAt(applyChange(configuration, wrong)));
    EXPECT_FALSE(acceptedAt(applyChange(configuration, raise("c", 1, ""))));
}

TEST(RouteTable, FollowersOfOldRevisionsGetTheNewestDocument)
{
    Configuration configuration;
    applyChange(configuration, raise("a", 1, "one"));
    applyChange(configuration, raise("b", 2, "two"));
    auto changes = changesSince(configuration, Revision(1));
    ASSERT_EQ(changes.deltas.size(), 1u);
    EXPECT_EQ(std::get<Model::RouteTable>(changes.deltas.front().stored->resource).document, "two");
}
