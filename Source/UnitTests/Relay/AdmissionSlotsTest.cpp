#include "Relay/AdmissionSlots.h"

#include <gtest/gtest.h>

using Common::Connections;
using Common::Milliseconds;
using Common::RequestRate;
using Common::TimePoint;

namespace {

const TimePoint now { Milliseconds(1'000) };
const Milliseconds service { 10 };

std::vector<Roster::EligibleServer> servers(size_t cold, size_t warm)
{
    std::vector<Roster::EligibleServer> out(cold + warm);
    for (size_t i = 0; i < cold; ++i)
        out[i].warmAt = now + Milliseconds(3'000);
    return out;
}

} // namespace

// A failure domain that comes back cold as a whole must not admit calls for slots that its servers may not use.
TEST(AdmissionSlots, AColdServerCountsWithItsRate)
{
    EXPECT_DOUBLE_EQ(Relay::admissionSlots(servers(0, 3), Connections(6), RequestRate(20), service, now), 18);
    EXPECT_DOUBLE_EQ(Relay::admissionSlots(servers(3, 0), Connections(6), RequestRate(20), service, now), 0.6);
    EXPECT_DOUBLE_EQ(Relay::admissionSlots(servers(1, 2), Connections(6), RequestRate(20), service, now), 12.2);
    EXPECT_DOUBLE_EQ(Relay::admissionSlots(servers(1, 0), Connections(6), RequestRate(9'000), service, now), 6)
        << "not more than its connections";
}

TEST(AdmissionSlots, WithoutARateForColdServersTheyCountAsOthers)
{
    EXPECT_DOUBLE_EQ(Relay::admissionSlots(servers(3, 0), Connections(6), RequestRate(0), service, now), 18);
    EXPECT_DOUBLE_EQ(Relay::admissionSlots(servers(3, 0), Connections(6), RequestRate(20), Milliseconds(0), now), 18)
        << "before the first answer the time of a request is not known";
    EXPECT_DOUBLE_EQ(Relay::admissionSlots({}, Connections(6), RequestRate(20), service, now), 1);
}
