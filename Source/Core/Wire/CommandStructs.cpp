#include "Wire/CommandStructs.h"

#include "Wire/Fields.h"
#include "Wire/FlatMessage.h"
#include "Wire/OnceStructs.h"
#include "Wire/ResourceStructs.h"

namespace Wire {

namespace {

    void writeHolders(ControlSchema::HolderChange::Builder out, const Control::HolderChange& change)
    {
        auto joined = out.initJoined(change.joined.size());
        for (unsigned i = 0; i < joined.size(); ++i)
            write(joined[i], change.joined[i]);
        auto left = out.initLeft(change.left.size());
        for (unsigned i = 0; i < left.size(); ++i) {
            left[i].setId(toText(change.left[i].id));
            left[i].setIncarnation(change.left[i].incarnation.value());
        }
    }

    Control::HolderChange readHolders(ControlSchema::HolderChange::Reader in)
    {
        Control::HolderChange change;
        for (auto part : in.getJoined())
            change.joined.push_back(read(part));
        for (auto part : in.getLeft()) {
            change.left.push_back(
                { fromText<Common::InstanceId>(part.getId()), Common::Incarnation(part.getIncarnation()) });
        }
        return change;
    }

    struct CommandWriter {
        ControlSchema::Command::Builder& out;

        void operator()(const Control::Change& change) const { write(out.initChange(), change); }
        void operator()(const Once::Claim& claim) const { write(out.initClaim(), claim); }
        void operator()(const Once::Outcome& outcome) const { write(out.initOutcome(), outcome); }
        void operator()(const Once::Orphan& orphan) const { write(out.initOrphan(), orphan); }
        void operator()(const Once::Expire& expire) const { out.setExpire(expire.now.value()); }
        void operator()(const Control::HolderChange& change) const { writeHolders(out.initHolders(), change); }
    };

    struct CommandOutcomeWriter {
        ControlSchema::CommandOutcome::Builder& out;

        void operator()(const Control::ChangeOutcome& outcome) const { write(out.initChange(), outcome); }
        void operator()(const Once::ClaimOutcome& outcome) const { write(out.initClaim(), outcome); }
        void operator()(const Once::RecordResult& result) const { out.setRecord(toNumber(result)); }
        void operator()(const Control::Acknowledged&) const { out.setAcknowledged(); }
        void operator()(const Control::CommandRefused& refused) const { write(out.initRefused(), refused.error); }
    };

} // namespace

void write(ControlSchema::LiveInstance::Builder out, const Control::LiveInstance& instance)
{
    out.setId(toText(instance.id));
    out.setIncarnation(instance.incarnation.value());
    out.setAddress(toText(instance.address));
    out.setDomain(toText(instance.domain));
}

Control::LiveInstance read(ControlSchema::LiveInstance::Reader in)
{
    return { fromText<Common::InstanceId>(in.getId()), Common::Incarnation(in.getIncarnation()),
        fromText<Common::Address>(in.getAddress()), fromText<Common::FailureDomain>(in.getDomain()) };
}

void write(ControlSchema::Command::Builder out, const Control::Command& command)
{
    out.setFormatVersion(formatVersion);
    std::visit(CommandWriter { out }, command);
}

Control::Command read(ControlSchema::Command::Reader in)
{
    checkFormatVersion(in.getFormatVersion());
    switch (in.which()) {
    case ControlSchema::Command::CHANGE:
        return read(in.getChange());
    case ControlSchema::Command::CLAIM:
        return read(in.getClaim());
    case ControlSchema::Command::OUTCOME:
        return read(in.getOutcome());
    case ControlSchema::Command::ORPHAN:
        return read(in.getOrphan());
    case ControlSchema::Command::EXPIRE:
        return Once::Expire { Once::LogTime(in.getExpire()) };
    case ControlSchema::Command::HOLDERS:
        return readHolders(in.getHolders());
    }
    failDecode("unknown kind of command");
}

void write(ControlSchema::CommandOutcome::Builder out, const Control::CommandOutcome& outcome)
{
    out.setFormatVersion(formatVersion);
    std::visit(CommandOutcomeWriter { out }, outcome);
}

Control::CommandOutcome read(ControlSchema::CommandOutcome::Reader in)
{
    checkFormatVersion(in.getFormatVersion());
    switch (in.which()) {
    case ControlSchema::CommandOutcome::CHANGE:
        return read(in.getChange());
    case ControlSchema::CommandOutcome::CLAIM:
        return read(in.getClaim());
    case ControlSchema::CommandOutcome::RECORD:
        return fromNumber(in.getRecord(), Once::RecordResult::Stale);
    case ControlSchema::CommandOutcome::ACKNOWLEDGED:
        return Control::Acknowledged {};
    case ControlSchema::CommandOutcome::REFUSED:
        return Control::CommandRefused { read(in.getRefused()) };
    }
    failDecode("unknown kind of command outcome");
}

} // namespace Wire
