#include "Common/Clock.h"
#include "Consensus/Step.h"

#include <gtest/gtest.h>

#include <cstdio>

#include <malloc.h>

using Common::InstanceId;
using Common::LogIndex;
using Common::TimePoint;
using Consensus::Message;
using Consensus::State;

namespace {

constexpr size_t commandSize = 200; // In bytes.
constexpr size_t memberCount = 3;

// A group of three members whose disks and network have no latency.
class IdealGroup {
public:
    IdealGroup()
    {
        Consensus::Options options;
        for (size_t i = 0; i < memberCount; ++i)
            options.initialVoters.emplace_back(std::to_string(i));
        for (size_t i = 0; i < memberCount; ++i) {
            options.self = { options.initialVoters[i], Consensus::StorageId(i + 1) };
            m_states.push_back(makeState(options, {}, i, TimePoint()));
        }
        for (int ms = 0; !isLeading(m_states[0]) && ms < 5000; ++ms) {
            m_now = TimePoint(Common::Milliseconds(ms));
            for (size_t i = 0; i < memberCount; ++i)
                run(i, Consensus::Tick {});
        }
    }

    bool propose(const Consensus::Propose& propose)
    {
        LogIndex before = m_states[0].commit;
        run(0, propose);
        return m_states[0].commit == before + LogIndex(propose.commands.size());
    }

private:
    void run(size_t member, const Consensus::Event& event)
    {
        std::vector<Message> messages;
        absorb(messages, step(m_states[member], event, m_now));
        if (m_states[member].lastWrite > m_states[member].persistedWrite)
            absorb(messages, step(m_states[member], Consensus::Persisted { m_states[member].lastWrite }, m_now));
        for (const Message& message : messages)
            run(std::stoul(message.to.instance.value()), Consensus::Receive { message });
    }

    static void absorb(std::vector<Message>& messages, Consensus::Effects effects)
    {
        std::move(effects.messages.begin(), effects.messages.end(), std::back_inserter(messages));
        std::move(effects.messagesAfterWrites.begin(), effects.messagesAfterWrites.end(), std::back_inserter(messages));
    }

    std::vector<State> m_states;
    TimePoint m_now;
};

} // namespace

// Prints the time that a committed command takes in step() on all three members together, and its memory. The members
// share each entry here; in separate processes each one holds its own copy.
TEST(StepCost, OfACommittedCommand)
{
    for (size_t batch : { 1, 10, 100 }) {
        constexpr size_t commands = 20'000;
        IdealGroup group;
        size_t before = mallinfo2().uordblks;
        TimePoint start = Common::Clock::now();
        for (size_t n = 0; n < commands; n += batch) {
            Consensus::Propose propose { std::vector<std::string>(batch, std::string(commandSize, 'x')) };
            ASSERT_TRUE(group.propose(propose));
        }
        double us = (Common::Clock::now() - start).value() * 1e3 / commands;
        double bytes = static_cast<double>(mallinfo2().uordblks - before) / commands;
        std::printf("batches of %zu: %.2f us and %.0f bytes a command of %zu bytes\n", batch, us, bytes, commandSize);
    }
}
