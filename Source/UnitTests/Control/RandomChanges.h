#pragma once

#include "Common/Random.h"
#include "Control/Configuration.h"

#include <string>
#include <vector>

// Generates the changes of concurrent operators over a few names: based on versions that may be outdated, with
// references that may be missing, and resent under their ids, sometimes with another body.
class RandomChanges {
public:
    explicit RandomChanges(uint64_t seed)
        : m_random(seed)
    {
    }

    // `seen` is the configuration that the operator last read.
    Control::Change next(const Control::Configuration& seen)
    {
        if (!m_sent.empty() && m_random.chance(0.3))
            return resend();
        Control::Change change;
        change.id = Common::ChangeId("change-" + std::to_string(++m_ids));
        if (m_random.chance(0.1)) {
            change.resource = randomEvacuation();
            change.key = Model::keyOf(*change.resource);
            change.action = m_random.chance(0.3) ? Control::Action::Assign : Control::Action::AssignFrom;
            if (auto stored = Control::find(seen, change.key); stored && change.action == Control::Action::AssignFrom)
                change.madeFrom = stored->version;
            m_sent.push_back(change);
            return change;
        }
        Model::Resource resource = randomResource();
        change.key = Model::keyOf(resource);
        const Control::StoredResource* stored = Control::find(seen, change.key);
        if (!stored || m_random.chance(0.05)) {
            change.resource = resource;
        } else {
            bool isDelete = m_random.chance(0.4);
            change.action = isDelete ? Control::Action::Delete : Control::Action::Replace;
            change.madeFrom = stored->version;
            if (!isDelete)
                change.resource = resource;
        }
        m_sent.push_back(change);
        return change;
    }

    Common::Random& random() { return m_random; }

    Model::Resource randomResource()
    {
        Common::GroupName group("group-" + number(3));
        Common::IndexVersion version(1 + m_random.below(2));
        switch (m_random.below(5)) {
        case 0:
            return Model::BackendGroup { group, Common::Slots(1 + static_cast<int64_t>(m_random.below(4))) };
        case 1:
            return Model::IndexVersionMap { group, version,
                { { Common::ShardId(static_cast<uint32_t>(m_random.below(9))), { 0, Common::keySpaceSize } } } };
        case 2:
            return Model::Instance { Common::InstanceId("entry-" + number(4)), Common::FailureDomain("patan"),
                Common::Address("10.0.0.1:7000"), m_random.chance(0.5) };
        default: {
            auto kind = m_random.chance(0.5) ? Model::RouteKind::Lookup : Model::RouteKind::RunOnce;
            return Model::QueryRoute { Common::RouteName("route-" + number(6)), group, kind, version,
                Common::Milliseconds(100 + static_cast<double>(m_random.below(100))) };
        }
        }
    }

    Model::DomainEvacuation randomEvacuation()
    {
        return { Common::FailureDomain("domain-" + number(3)), m_random.chance(0.5) };
    }

private:
    std::string number(uint64_t limit) { return std::to_string(m_random.below(limit)); }

    Control::Change resend()
    {
        Control::Change change = m_sent[m_random.below(m_sent.size())];
        if (m_random.chance(0.05))
            change.madeFrom += Common::Revision(1);
        return change;
    }

    Common::Random m_random;
    std::vector<Control::Change> m_sent;
    uint64_t m_ids { 0 };
};
