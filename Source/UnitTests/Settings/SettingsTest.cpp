#include "Settings/Settings.h"

#include <gtest/gtest.h>

namespace {

const std::string validSettings = "instance: entry-1\n"
                                  "failure_domain: kozep-a\n"
                                  "roles: [entry]\n"
                                  "peer: {listen: '127.0.0.1:7000'}\n"
                                  "control:\n"
                                  "  members:\n"
                                  "    - {instance: control-1, address: '127.0.0.1:7001'}\n";

std::string errorOf(const std::string& text)
{
    auto result = Settings::parse("a.yaml", text);
    return result ? "" : result.error().message;
}

void expectError(const std::string& text, const std::string& part)
{
    std::string error = errorOf(text);
    EXPECT_NE(error.find(part), std::string::npos) << "in: " << error;
}

} // namespace

TEST(Settings, FailureDomainsAreOptional)
{
    EXPECT_TRUE(Settings::parse("a.yaml", validSettings).value().failureDomains.empty());
    auto daemon = Settings::parse("a.yaml", validSettings + "failure_domains: [\"kozep-a\",\"kozep b\"]\n");
    ASSERT_TRUE(daemon) << daemon.error();
    EXPECT_EQ(daemon.value().failureDomains,
        (std::vector { Common::FailureDomain("kozep-a"), Common::FailureDomain("kozep b") }));
}

TEST(Settings, ReadsAValidFileWithDefaults)
{
    auto result = Settings::parse("a.yaml", validSettings);
    ASSERT_TRUE(result) << result.error().message;
    EXPECT_EQ(result.value().instance, Common::InstanceId("entry-1"));
    EXPECT_TRUE(result.value().isEntry);
    EXPECT_EQ(result.value().control.lease, Common::Milliseconds(4000));
    EXPECT_FALSE(result.value().relay.priorities);
    EXPECT_TRUE(Settings::parse("a.yaml", validSettings + "relay: {priorities: true}\n").value().relay.priorities);
    EXPECT_FALSE(result.value().relay.pace);
    EXPECT_TRUE(Settings::parse("a.yaml", validSettings + "relay: {pace: true}\n").value().relay.pace);
}

// Operators find the mistake by the file, line and field in the message.
TEST(Settings, ErrorsNameFileLineFieldFoundAndExpected)
{
    expectError(
        validSettings + "http: {threads: many}\n", "a.yaml:8: field http.threads is 'many', expected a whole number");
    expectError(validSettings + "speed: 3\n", "a.yaml:8: field speed is not a known field");
    expectError(validSettings + "peers: {listen: x}\n", "field peers is not a known field");
    expectError(validSettings + "http: {listen: nowhere}\n", "field http.listen is 'nowhere', expected IP:PORT");
    expectError(validSettings + "http: 7\n", "a.yaml:8: field http is '7', expected a map of fields");
    expectError(validSettings + "entry: {attempts: 99}\n",
        "field entry.attempts is '99', expected a whole number from 1 to 10");
    expectError(validSettings + "relay: {processor_share: 0}\n", "field relay.processor_share is '0', expected");
    expectError(validSettings + "relay: {processor_share: half}\n", "field relay.processor_share is 'half', expected");
    expectError(validSettings + "log: {level: loud}\n", "field log.level is 'loud'");
    expectError("roles: [entry\n", "not YAML");
    expectError("- 1\n", "expected a map of fields");
}

// The first problem does not hide the others.
TEST(Settings, ReportsAllProblemsAtOnce)
{
    std::string error = errorOf("roles: [king]\n");
    for (const char* field : { "instance", "failure_domain", "roles", "control.members" })
        EXPECT_NE(error.find(std::string("field ") + field), std::string::npos) << error;
}

// A control instance can't start without a data folder or outside of the list of members.
TEST(Settings, ControlNeedsADataFolderAndMembership)
{
    std::string text = validSettings;
    text.replace(text.find("[entry]"), 7, "[control]");
    expectError(text, "field data_folder is absent");
    expectError(text, "field instance is 'entry-1', expected one of control.members");
}

// The platform names the window in seconds.
TEST(Settings, BoundsOfQuotas)
{
    auto defaults = Settings::parse("a.yaml", validSettings);
    ASSERT_TRUE(defaults);
    EXPECT_EQ(defaults.value().relay.quotaWindow, Common::Milliseconds(5'000));
    auto given = Settings::parse(
        "a.yaml", std::string(validSettings) + "relay: {quota_window_s: 2.5, quota_overrun: 0.2, quota_slack: 8}\n");
    ASSERT_TRUE(given);
    EXPECT_EQ(given.value().relay.quotaWindow, Common::Milliseconds(2'500));
    EXPECT_EQ(given.value().relay.quotaOverrun, 0.2);
    EXPECT_EQ(given.value().relay.quotaSlack, 8);
}

// Guards against parts of a stop that exceed the time until the process is killed.
TEST(Settings, StopFitsIntoItsGracePeriod)
{
    expectError(validSettings + "stop: {grace_s: 2.5, balancer_wait_ms: 2600}\n",
        "field stop.grace_s is 2.500000, expected more than balancer_wait_ms and finish_bound_ms together");
    EXPECT_TRUE(Settings::parse("a.yaml", validSettings + "stop: {grace_s: 6, balancer_wait_ms: 2600}\n"));
    // A file of an earlier version.
    EXPECT_TRUE(Settings::parse("a.yaml", validSettings + "stop: {finish_bound_ms: 60000}\n"));
}
