#include "Entry/ServerShares.h"
#include "Http/RawServer.h"

#include <gtest/gtest.h>

#include <future>

using Common::Milliseconds;
using Common::Reason;
using HttpTest::RawServer;

namespace {

const Common::InstanceId self("entry-1");
const Common::GroupName group("foglalas");
constexpr Milliseconds settleTime { 500 };

// An instance that is alone and knows one group.
struct Instance {
    Instance()
    {
        Model::BackendGroup resource;
        resource.name = group;
        Common::Revision revision(1);
        Model::ResourceKey key { Model::Kind::BackendGroup, group.value() };
        configuration.follow(
            { true, {}, revision, { { key, Control::StoredResource { resource, revision, {} }, revision, {} } } });
    }

    ~Instance()
    {
        peers.stop();
        timers.stop();
    }

    void discover(const Backend::Target& target)
    {
        Membership::Announcement announcement;
        announcement.server = target.server;
        announcement.address = target.address;
        announcement.group = target.group;
        // No connection is opened in advance, which could outlive the test.
        announcement.state = Membership::ServerState::Leaving;
        membership.announce(announcement);
    }

    Common::Result<Backend::SearchAnswer> search(const Backend::Target& target)
    {
        std::promise<Common::Result<Backend::SearchAnswer>> promise;
        Backend::SearchRequest request;
        request.timeLeft = Milliseconds(2'000);
        backend.search(target, request, [&](const auto& answer) { promise.set_value(answer); });
        return promise.get_future().get();
    }

    Common::TimePoint startedAt { Milliseconds(1'000) };
    Common::Timers timers { 1 };
    Observe::Metrics metrics;
    Observe::Timeline timeline { self, Common::Incarnation(1) };
    Peer::Client peers { Peer::ClientOptions { .self = self } };
    Entry::ServerTable servers;
    Entry::ConfigurationView configuration;
    Entry::MembershipService membership { Membership::GossipSettings {}, Membership::InstanceRecord { .id = self },
        { timers, peers, servers, metrics, timeline } };
    Backend::Client backend { timers, metrics };
    Entry::ServerShares shares { { self, settleTime, configuration, servers, membership, backend }, startedAt };
};

} // namespace

// Guards against a refresh that another one on a second thread has overtaken: it left a server that the other one had
// just discovered without connections, and queries were answered without its shards.
TEST(ServerShares, ARefreshThatWasOvertakenKeepsTheShareOfANewServer)
{
    RawServer server([](int, int, const std::string&) { return RawServer::Reply { HttpTest::okReply() }; });
    Backend::Target target { Common::BackendServerId("loft-0"), server.address(), group };
    Instance it;
    it.discover(target);
    auto now = it.startedAt + settleTime * 10;
    it.shares.refresh(now);
    it.shares.refresh(now - Milliseconds(1));
    auto answer = it.search(target);
    EXPECT_TRUE(answer || answer.error().reason != Reason::Overloaded) << answer.error();
}
