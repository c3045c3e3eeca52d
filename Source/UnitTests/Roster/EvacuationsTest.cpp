#include "Roster/ServerView.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Roster;
using Common::FailureDomain;
using Common::Milliseconds;
using Common::Revision;
using Common::TimePoint;

namespace {

const Common::InstanceId source("control");

TimePoint at(double ms) { return TimePoint(Milliseconds(ms)); }

Report report(const std::string& id, const char* domain, uint64_t sequence = 1, double warmupLeft = 0)
{
    Report r;
    r.server = Common::BackendServerId(id);
    r.group = Common::GroupName("g");
    r.address = Common::Address("10.0.0.1:" + std::to_string(1 + id.back()));
    r.domain = FailureDomain(domain);
    r.incarnation = Common::Incarnation(1);
    r.sequence = sequence;
    r.slots = Common::Slots(2);
    r.warmupLeft = Milliseconds(warmupLeft);
    return r;
}

Evacuations evacuations(uint64_t revision, std::initializer_list<const char*> domains)
{
    Evacuations out { Revision(revision), {} };
    for (const char* domain : domains)
        out.domains.emplace_back(domain);
    return out;
}

std::vector<std::string> eligible(const ServerView& view)
{
    std::vector<std::string> ids;
    for (auto& [group, servers] : eligibleServers(view)) {
        for (const EligibleServer& server : servers)
            ids.push_back(server.server.value());
    }
    return ids;
}

TimePoint warmAt(const ServerView& view, const char* id) { return view.servers.at(Common::BackendServerId(id)).warmAt; }

using Ids = std::vector<std::string>;

ServerView makeView()
{
    ServerView view;
    merge(view, source, { true, Revision(1), { report("s1", "a"), report("s2", "b"), report("s3", "a") } }, at(0));
    return view;
}

} // namespace

// Guards against requests to servers of an evacuated domain, also to those that are reported after the command.
TEST(Evacuations, ServersOfTheDomainAreLeftOut)
{
    ServerView view = makeView();
    EXPECT_TRUE(takeEvacuations(view, evacuations(5, { "a" }), at(0)));
    EXPECT_EQ(eligible(view), Ids { "s2" });
    merge(view, source, { false, Revision(2), { report("s4", "a"), report("s5", "c") } }, at(1));
    EXPECT_EQ(eligible(view), (Ids { "s2", "s5" }));
}

// Guards against a group that keeps a server although all of its domains are evacuated: it is refused at once.
TEST(Evacuations, AGroupMayHaveNoServerLeft)
{
    ServerView view = makeView();
    takeEvacuations(view, evacuations(5, { "a", "b" }), at(0));
    EXPECT_TRUE(eligibleServers(view).empty());
}

// Guards against a control instance that is behind, or a late reply, that undoes a later command.
TEST(Evacuations, ALateLowerRevisionChangesNothing)
{
    ServerView view = makeView();
    EXPECT_TRUE(takeEvacuations(view, evacuations(5, { "a" }), at(0)));
    EXPECT_FALSE(takeEvacuations(view, evacuations(4, {}), at(1)));
    EXPECT_FALSE(takeEvacuations(view, evacuations(5, {}), at(1)));
    EXPECT_FALSE(takeEvacuations(view, evacuations(0, {}), at(1)));
    EXPECT_EQ(eligible(view), Ids { "s2" });
    EXPECT_TRUE(takeEvacuations(view, evacuations(6, {}), at(2)));
    EXPECT_EQ(eligible(view), (Ids { "s1", "s2", "s3" }));
}

// Guards against a burst on the servers of a domain that comes back, which got no requests for a while.
TEST(Evacuations, ServersAreColdAfterACancellation)
{
    ServerView view = makeView();
    takeEvacuations(view, evacuations(5, { "a" }), at(100));
    takeEvacuations(view, evacuations(6, {}), at(1'000));
    EXPECT_EQ(warmAt(view, "s1"), at(4'000));
    EXPECT_EQ(warmAt(view, "s2"), at(0)) << "its domain was not evacuated";
    merge(view, source, { false, Revision(2), { report("s1", "a", 1, 9'000) } }, at(1'100));
    EXPECT_EQ(warmAt(view, "s1"), at(4'000)) << "a report from before the cancellation";
    merge(view, source, { false, Revision(3), { report("s1", "a", 2, 0), report("s3", "a", 2, 500) } }, at(1'500));
    EXPECT_EQ(warmAt(view, "s1"), at(1'500)) << "it reports that it is warm";
    EXPECT_EQ(warmAt(view, "s3"), at(2'000));
    merge(view, source, { false, Revision(4), { report("s3", "a", 3, 400) } }, at(1'600));
    EXPECT_EQ(warmAt(view, "s3"), at(2'000)) << "it reports the same time";
    merge(view, source, { false, Revision(5), { report("s3", "a", 4, 2'000) } }, at(1'700));
    EXPECT_EQ(warmAt(view, "s3"), at(3'700)) << "it became cold again";
}

// Guards against relays that disagree because replies arrive in different orders, or twice.
RC_GTEST_PROP(Evacuations, TheOrderOfRepliesDoesNotMatter, ())
{
    std::vector<Evacuations> replies;
    uint64_t count = *rc::gen::inRange<uint64_t>(1, 12);
    for (uint64_t revision = 1; revision <= count; ++revision) {
        Evacuations reply { Revision(revision), {} };
        for (const char* domain : { "a", "b" }) {
            if (*rc::gen::arbitrary<bool>())
                reply.domains.emplace_back(domain);
        }
        replies.push_back(reply);
    }
    ServerView view = makeView();
    ServerView expected = makeView();
    takeEvacuations(expected, replies.back(), at(0));
    auto order = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, replies.size()));
    for (size_t i : order)
        takeEvacuations(view, replies[i], at(0));
    takeEvacuations(view, replies.back(), at(0));
    for (size_t i : order)
        RC_ASSERT(!takeEvacuations(view, replies[i], at(0)));
    RC_ASSERT(view.evacuations == replies.back());
    RC_ASSERT(eligible(view) == eligible(expected));
}
