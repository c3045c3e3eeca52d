#include "Limits/LoadShedder.h"

#include <gtest/gtest.h>

using Common::Milliseconds;
using Limits::LoadShedder;

namespace {

constexpr Common::TimePoint start { Milliseconds(1'000) };

// With the calls of two priorities, and so many late answers that the least share of all is admitted.
LoadShedder overloaded(int urgentCalls, int patientCalls)
{
    LoadShedder shedder;
    for (int i = 0; i < urgentCalls; ++i)
        Limits::recordCall(shedder, { 0, std::nullopt }, start);
    for (int i = 0; i < patientCalls; ++i)
        Limits::recordCall(shedder, { 1, std::nullopt }, start);
    for (int i = 0; i < 100; ++i)
        Limits::recordAnswer(shedder, true, start);
    return shedder;
}

double shareOf(const LoadShedder& shedder, int priority, const char* tenant = nullptr)
{
    Limits::CallerClass caller { priority, std::nullopt };
    if (tenant)
        caller.tenant = Common::TenantName(tenant);
    return Limits::admittedShareOf(shedder, caller, { 0, 1 }, start);
}

} // namespace

TEST(LoadShedder, AdmitsAllWhileAnswersAreInTime)
{
    LoadShedder shedder;
    for (int i = 0; i < 100; ++i)
        Limits::recordAnswer(shedder, i % 20 == 0, start);
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.999, start));
}

TEST(LoadShedder, ShedsWhileManyAnswersAreLateAndRecovers)
{
    LoadShedder shedder;
    for (int i = 0; i < 10; ++i)
        Limits::recordAnswer(shedder, true, start);
    EXPECT_FALSE(Limits::shouldAdmit(shedder, 0.9, start));
    for (int i = 0; i < 1'000; ++i)
        Limits::recordAnswer(shedder, true, start);
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.5, start)) << "below the minimum share";
    for (int i = 0; i < 25; ++i)
        Limits::recordAnswer(shedder, false, start);
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.999, start));
}

// Guards against callers that are refused as overload long after the load has gone.
TEST(LoadShedder, AdmitsAllAfterAQuietMinute)
{
    LoadShedder shedder;
    for (int i = 0; i < 1'000; ++i)
        Limits::recordAnswer(shedder, true, start);
    EXPECT_FALSE(Limits::shouldAdmit(shedder, 0.7, start + Milliseconds(500))) << "the load has not gone yet";
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.999, start + Milliseconds(60'000)));
    Limits::recordAnswer(shedder, true, start + Milliseconds(60'000));
    EXPECT_TRUE(Limits::shouldAdmit(shedder, 0.999, start + Milliseconds(60'001))) << "one late answer is no load";
}

// Guards against urgent calls that are refused although refusing less urgent ones suffices, against a kind that
// starves, and against a total that differs from the share of all.
TEST(LoadShedder, RefusesLessUrgentCallsFirstDownToAThirdOfAll)
{
    for (int urgentCalls : { 0, 1, 10, 35, 60, 90, 99, 100 }) {
        int patientCalls = 100 - urgentCalls;
        LoadShedder shedder = overloaded(urgentCalls, patientCalls);
        double all = Limits::admittedShareOf(shedder, {}, {}, start);
        double urgent = shareOf(shedder, 0);
        double patient = shareOf(shedder, 1);
        EXPECT_GE(urgent, patient) << urgentCalls;
        EXPECT_GE(patient, 0.6 / 3 - 1e-9) << urgentCalls;
        EXPECT_LE(urgent, 1) << urgentCalls;
        // Each named priority counts one assumed call.
        EXPECT_NEAR(urgent * (urgentCalls + 1) + patient * (patientCalls + 1), 0.6 * 102, 1e-6) << urgentCalls;
        EXPECT_GT(all, 0) << urgentCalls;
    }
    EXPECT_NEAR(shareOf(overloaded(35, 65), 0), 1, 1e-9);
    EXPECT_NEAR(shareOf(overloaded(90, 10), 1), 0.2, 1e-9);
}

// Guards against a change for deployments whose routes all have one priority.
TEST(LoadShedder, OnePriorityWithoutTenantsHasTheShareOfAll)
{
    LoadShedder shedder = overloaded(50, 0);
    EXPECT_DOUBLE_EQ(Limits::admittedShareOf(shedder, {}, { 0 }, start), 0.6);
    EXPECT_DOUBLE_EQ(Limits::admittedShareOf(shedder, {}, {}, start), 0.6);
}

// Guards against the refusal of tenants with usual rates for the late answers of one that floods the servers.
TEST(LoadShedder, RefusesTheTenantsWithMostCallsFirst)
{
    LoadShedder shedder;
    for (int i = 0; i < 60; ++i)
        Limits::recordCall(shedder, { 0, Common::TenantName("flood") }, start);
    for (int i = 0; i < 40; ++i)
        Limits::recordCall(shedder, { 0, Common::TenantName("calm-" + std::to_string(i % 10)) }, start);
    for (int i = 0; i < 100; ++i)
        Limits::recordAnswer(shedder, true, start);
    auto shareWith = [&](const char* tenant) {
        return Limits::admittedShareOf(shedder, { 0, Common::TenantName(tenant) }, { 0 }, start);
    };
    EXPECT_NEAR(shareWith("calm-3"), 1, 1e-9);
    EXPECT_NEAR(shareWith("flood"), 20.0 / 60, 1e-9);
    EXPECT_NEAR(shareWith("new"), 1, 1e-9);
}

// Guards against state that grows with each tenant that ever sent a call.
TEST(LoadShedder, ForgetsTenantsThatSendNoMoreCalls)
{
    LoadShedder shedder;
    for (int i = 0; i < 1'000; ++i)
        Limits::recordCall(shedder, { 0, Common::TenantName("tenant-" + std::to_string(i)) }, start);
    Limits::recordCall(shedder, { 0, Common::TenantName("last") }, start + Milliseconds(200'000));
    EXPECT_EQ(shedder.calls.at(0).size(), 1u);
}
