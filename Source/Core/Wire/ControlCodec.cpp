#include "Wire/ControlCodec.h"

#include "Wire/CommandStructs.h"
#include "Wire/Fields.h"
#include "Wire/FlatMessage.h"
#include "Wire/ResourceStructs.h"

namespace Wire {

namespace {

    template <typename Schema, typename Value> std::string encodeMessage(const Value& value)
    {
        capnp::MallocMessageBuilder message;
        write(message.initRoot<Schema>(), value);
        return serializeFlat(message);
    }

    void writeRemembered(ControlSchema::RememberedChange::Builder out, const Control::RememberedChange& change)
    {
        out.setId(toText(change.id));
        out.setBody(change.body.value());
        write(out.initOutcome(), change.outcome);
    }

    // Followers rely on a history with consecutive revisions.
    void checkHistory(const Control::Configuration& configuration)
    {
        uint64_t expected = configuration.revision.value() - configuration.history.size();
        for (const Control::Delta& delta : configuration.history)
            require(delta.revision.value() == ++expected, "the history has gaps");
    }

    Control::Configuration readConfiguration(ControlSchema::ConfigurationSnapshot::Reader in)
    {
        Control::Configuration configuration;
        configuration.limits = { in.getRememberedLimit(), in.getHistoryLimit() };
        configuration.revision = Common::Revision(in.getRevision());
        for (auto part : in.getResources()) {
            Control::StoredResource stored = read(part);
            configuration.resources.emplace(Model::keyOf(stored.resource), std::move(stored));
        }
        for (auto part : in.getHistory())
            configuration.history.push_back(read(part));
        for (auto part : in.getRemembered()) {
            configuration.remembered.push_back({ fromText<Common::ChangeId>(part.getId()),
                Common::Fingerprint(part.getBody()), read(part.getOutcome()) });
        }
        for (auto part : in.getHolders()) {
            Control::LiveInstance holder = read(part);
            configuration.holders.emplace(holder.id, std::move(holder));
        }
        checkHistory(configuration);
        rebuildIndexes(configuration);
        return configuration;
    }

} // namespace

std::string encode(const Control::Command& command) { return encodeMessage<ControlSchema::Command>(command); }

Common::Result<Control::Command> decodeCommand(std::string_view bytes)
{
    return readFlatMessage<ControlSchema::Command>(bytes, [](ControlSchema::Command::Reader in) { return read(in); });
}

std::string encode(const Control::CommandOutcome& outcome)
{
    return encodeMessage<ControlSchema::CommandOutcome>(outcome);
}

Common::Result<Control::CommandOutcome> decodeCommandOutcome(std::string_view bytes)
{
    return readFlatMessage<ControlSchema::CommandOutcome>(
        bytes, [](ControlSchema::CommandOutcome::Reader in) { return read(in); });
}

std::string encodeSnapshot(const Control::Configuration& configuration)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<ControlSchema::ConfigurationSnapshot>();
    out.setFormatVersion(formatVersion);
    out.setRememberedLimit(configuration.limits.rememberedChanges);
    out.setHistoryLimit(configuration.limits.history);
    out.setRevision(configuration.revision.value());
    auto resources = out.initResources(configuration.resources.size());
    unsigned i = 0;
    for (const auto& [key, stored] : configuration.resources)
        write(resources[i++], stored);
    auto history = out.initHistory(configuration.history.size());
    for (i = 0; i < history.size(); ++i)
        write(history[i], configuration.history[i]);
    auto remembered = out.initRemembered(configuration.remembered.size());
    for (i = 0; i < remembered.size(); ++i)
        writeRemembered(remembered[i], configuration.remembered[i]);
    auto holders = out.initHolders(configuration.holders.size());
    i = 0;
    for (const auto& [id, holder] : configuration.holders)
        write(holders[i++], holder);
    return serializeFlat(message);
}

Common::Result<Control::Configuration> decodeConfiguration(std::string_view bytes)
{
    return readFlatMessage<ControlSchema::ConfigurationSnapshot>(bytes, readConfiguration);
}

} // namespace Wire
