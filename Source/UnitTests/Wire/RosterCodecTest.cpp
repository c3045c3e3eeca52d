#include "Wire/RosterCodec.h"

#include <gtest/gtest.h>

using namespace Roster;
using Common::Address;
using Common::FailureDomain;
using Common::Milliseconds;
using Common::Revision;

namespace {

Report makeReport(uint64_t n)
{
    Report report;
    report.server = Common::BackendServerId("server-" + std::to_string(n));
    report.group = Common::GroupName("group");
    report.address = Address("10.0.0.1:" + std::to_string(n));
    report.domain = FailureDomain("patan");
    report.incarnation = Common::Incarnation(n);
    report.sequence = n + 1;
    report.slots = Common::Slots(2);
    report.warmupLeft = Milliseconds(1.5);
    report.status = n % 2 ? ServerStatus::Leaving : ServerStatus::Lost;
    return report;
}

WatchRequest makeRequest()
{
    WatchRequest request;
    request.follower = Common::InstanceId("relay-1");
    request.peer = { Address("10.0.0.2:1"), FailureDomain("balaju") };
    request.isLeaving = true;
    request.isControl = true;
    request.known = { { Address("10.0.0.3:1"), Epoch(7), { Revision(1), Revision(2) }, 4 },
        { Address("10.0.0.4:1"), Epoch(8), {}, 0 } };
    request.table = Common::TableNumber(9);
    request.evacuations = Revision(12);
    request.suspects = { Epoch(3), { Revision(4), Revision(5) } };
    return request;
}

std::vector<Suspects::Record> makeRecords()
{
    const Suspects::ReportedStrike strike { Common::BackendServerId("s"), Common::Incarnation(4),
        Common::GroupName("g"), FailureDomain("d"), Suspects::RunId(5), Suspects::VariantId(6), Milliseconds(7),
        Milliseconds(8), true, true, false };
    Suspects::ReportedStrike answered = strike;
    answered.isRefuted = answered.wasAnswered = false;
    answered.isAnswered = true;
    return { { Suspects::Breadth::Request, { { 1, 2 }, { 3, 4 }, { 5, 6 } }, { strike, answered } },
        { Suspects::Breadth::Content, { {}, { 3, 4 }, {} }, { answered } },
        { Suspects::Breadth::Pattern, { {}, {}, { 5, 6 } }, { answered } } };
}

WatchReply makeReply()
{
    WatchReply reply;
    reply.sources.push_back({ Address("10.0.0.3:1"), FailureDomain("patan"), Epoch(7), Milliseconds(250),
        { { true, Revision(5), { makeReport(1), makeReport(2) } }, { false, Revision(6), {} } },
        { { Address("10.0.0.2:1"), FailureDomain("balaju") } }, 5, Common::TableNumber(11) });
    reply.logBehind = Milliseconds(1'300);
    reply.table = Common::TableNumber(10);
    reply.members = { Address("10.0.0.3:1"), Address("10.0.0.4:1") };
    reply.epoch = Epoch(8);
    reply.evacuations = { Revision(13), { FailureDomain("patan"), FailureDomain("nagy v\u00e1ros") } };
    reply.suspects = { { Revision(6), Revision(7) }, makeRecords() };
    return reply;
}

} // namespace

TEST(RosterCodec, RequestsRoundTrip)
{
    std::string bytes = Wire::encode(Request(makeRequest()));
    auto decoded = Wire::decodeRosterRequest(bytes);
    ASSERT_TRUE(decoded) << decoded.error();
    const auto& back = std::get<WatchRequest>(decoded.value());
    EXPECT_EQ(back.follower, makeRequest().follower);
    EXPECT_EQ(back.peer, makeRequest().peer);
    EXPECT_TRUE(back.isLeaving && back.isControl);
    ASSERT_EQ(back.known.size(), 2u);
    EXPECT_EQ(back.known[0].source, makeRequest().known[0].source);
    EXPECT_EQ(back.known[0].epoch, Epoch(7));
    EXPECT_EQ(back.known[0].revisions, makeRequest().known[0].revisions);
    EXPECT_EQ(back.known[0].peersVersion, 4u);
    EXPECT_EQ(back.table, Common::TableNumber(9));
    EXPECT_EQ(back.evacuations, Revision(12));
    EXPECT_EQ(back.suspects.epoch, Epoch(3));
    EXPECT_EQ(back.suspects.revisions, makeRequest().suspects.revisions);
    EXPECT_EQ(Wire::encode(Request(back)), bytes);
    EXPECT_TRUE(std::holds_alternative<TableRequest>(
        Wire::decodeRosterRequest(Wire::encode(Request(TableRequest {}))).value()));
}

TEST(RosterCodec, RepliesRoundTrip)
{
    std::string bytes = Wire::encode(makeReply());
    auto decoded = Wire::decodeWatchReply(bytes);
    ASSERT_TRUE(decoded) << decoded.error();
    ASSERT_EQ(decoded.value().sources.size(), 1u);
    const SourceState& state = decoded.value().sources[0];
    EXPECT_EQ(state.silentFor, Milliseconds(250));
    ASSERT_EQ(state.shards.size(), 2u);
    EXPECT_TRUE(state.shards[0].whole);
    EXPECT_EQ(state.shards[0].reports, makeReply().sources[0].shards[0].reports);
    EXPECT_EQ(state.shards[1].revision, Revision(6));
    EXPECT_EQ(state.peers, makeReply().sources[0].peers);
    EXPECT_EQ(state.table, Common::TableNumber(11));
    EXPECT_EQ(decoded.value().table, Common::TableNumber(10));
    EXPECT_EQ(decoded.value().logBehind, Milliseconds(1'300));
    EXPECT_EQ(decoded.value().members, makeReply().members);
    EXPECT_EQ(decoded.value().epoch, Epoch(8));
    EXPECT_EQ(decoded.value().evacuations, makeReply().evacuations);
    EXPECT_EQ(decoded.value().suspects.revisions, makeReply().suspects.revisions);
    EXPECT_EQ(decoded.value().suspects.records, makeRecords());
    EXPECT_EQ(Wire::encode(decoded.value()), bytes);
}

TEST(RosterCodec, ReportsOfSuspectsRoundTrip)
{
    auto decoded = Wire::decodeRosterRequest(Wire::encode(Request(SuspectsReport { makeRecords() })));
    ASSERT_TRUE(decoded) << decoded.error();
    EXPECT_EQ(std::get<SuspectsReport>(decoded.value()).records, makeRecords());
}

TEST(RosterCodec, TruncatedBytesAreErrors)
{
    std::string bytes = Wire::encode(makeReply());
    for (size_t length = 0; length < bytes.size(); length += 8)
        EXPECT_FALSE(Wire::decodeWatchReply(std::string_view(bytes).substr(0, length))) << length;
}

TEST(RosterCodec, DeparturesRoundTrip)
{
    Departure departure { Common::BackendServerId("s"), Common::Incarnation(5), true, Common::Incarnation(9) };
    auto decoded = Wire::decodeRosterRequest(Wire::encode(Request(DepartureReport { departure })));
    ASSERT_TRUE(decoded) << decoded.error();
    const Departure& back = std::get<DepartureReport>(decoded.value()).departure;
    EXPECT_EQ(back.server, departure.server);
    EXPECT_EQ(back.incarnation, departure.incarnation);
    EXPECT_TRUE(back.isNamed);
    EXPECT_EQ(back.receivedAt, departure.receivedAt);
    EXPECT_EQ(Wire::decodeDepartureReply(Wire::encode(DepartureReply { Common::Incarnation(5) })).value().held,
        Common::Incarnation(5));
}
