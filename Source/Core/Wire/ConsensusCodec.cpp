#include "Wire/ConsensusCodec.h"

#include "Wire/Consensus.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <utility>

namespace Wire {

namespace {

    using Common::InstanceId;
    using Common::LogIndex;
    using Common::Reason;
    using Common::Result;
    using Common::Term;

    // 32 GiB. The data comes from our own peers and files, and a snapshot can be far larger than Cap'n Proto's default
    // limit of 64 MiB.
    constexpr uint64_t traversalLimitWords = uint64_t { 1 } << 32;

    capnp::Data::Reader toData(const std::string& bytes)
    {
        return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
    }

    std::string fromData(capnp::Data::Reader data)
    {
        return { reinterpret_cast<const char*>(data.begin()), data.size() };
    }

    [[noreturn]] void throwMalformed(const char* what) { kj::throwFatalException(KJ_EXCEPTION(FAILED, what)); }

    void write(Schema::MemberId::Builder out, const Consensus::MemberId& id)
    {
        out.setInstance(id.instance.value());
        out.setStorage(id.storage.value());
    }

    Consensus::MemberId read(Schema::MemberId::Reader in)
    {
        return { InstanceId(in.getInstance()), Consensus::StorageId(in.getStorage()) };
    }

    void write(Schema::Membership::Builder out, const Consensus::Membership& membership)
    {
        out.setGroup(membership.group.value());
        auto members = out.initMembers(static_cast<unsigned>(membership.members.size()));
        for (unsigned i = 0; i < members.size(); ++i) {
            write(members[i].initId(), membership.members[i].id);
            members[i].setVoter(membership.members[i].voter);
        }
    }

    Consensus::Membership read(Schema::Membership::Reader in)
    {
        Consensus::Membership membership { Consensus::GroupId(in.getGroup()), {} };
        for (auto member : in.getMembers())
            membership.members.push_back({ read(member.getId()), member.getVoter() });
        return membership;
    }

    void write(Schema::Entry::Builder out, const Consensus::Entry& entry)
    {
        out.setIndex(entry.index.value());
        out.setTerm(entry.term.value());
        switch (entry.kind) {
        case Consensus::EntryKind::NoOp:
            out.setNoOp();
            break;
        case Consensus::EntryKind::Command:
            out.setCommand(toData(entry.command));
            break;
        case Consensus::EntryKind::Membership:
            write(out.initMembership(), entry.membership);
            break;
        }
    }

    Consensus::EntryRef read(Schema::Entry::Reader in)
    {
        Consensus::Entry entry;
        entry.index = LogIndex(in.getIndex());
        entry.term = Term(in.getTerm());
        if (in.isCommand()) {
            entry.kind = Consensus::EntryKind::Command;
            entry.command = fromData(in.getCommand());
        } else if (in.isMembership()) {
            entry.kind = Consensus::EntryKind::Membership;
            entry.membership = read(in.getMembership());
        } else {
            if (!in.isNoOp())
                throwMalformed("unknown kind of entry");
        }
        return std::make_shared<const Consensus::Entry>(std::move(entry));
    }

    void write(Schema::HardState::Builder out, const Consensus::HardState& hard)
    {
        out.setTerm(hard.term.value());
        if (hard.vote)
            write(out.initVote(), *hard.vote);
    }

    Consensus::HardState read(Schema::HardState::Reader in)
    {
        Consensus::HardState hard { Term(in.getTerm()), {} };
        if (in.hasVote())
            hard.vote = read(in.getVote());
        return hard;
    }

    void write(Schema::SnapshotMeta::Builder out, const Consensus::SnapshotMeta& meta)
    {
        out.setIndex(meta.index.value());
        out.setTerm(meta.term.value());
        write(out.initMembership(), meta.membership);
    }

    Consensus::SnapshotMeta read(Schema::SnapshotMeta::Reader in)
    {
        return { LogIndex(in.getIndex()), Term(in.getTerm()), read(in.getMembership()) };
    }

    struct BodyWriter {
        Schema::ConsensusMessage::Body::Builder out;

        void operator()(const Consensus::VoteRequest& body)
        {
            auto it = out.initVoteRequest();
            it.setPre(body.pre);
            it.setTransfer(body.transfer);
            it.setLastIndex(body.lastIndex.value());
            it.setLastTerm(body.lastTerm.value());
        }
        void operator()(const Consensus::VoteReply& body)
        {
            auto it = out.initVoteReply();
            it.setPre(body.pre);
            it.setGranted(body.granted);
        }
        void operator()(const Consensus::AppendRequest& body)
        {
            auto it = out.initAppendRequest();
            it.setPreviousIndex(body.previousIndex.value());
            it.setPreviousTerm(body.previousTerm.value());
            it.setCommit(body.commit.value());
            it.setRound(body.round.value());
            auto entries = it.initEntries(static_cast<unsigned>(body.entries.size()));
            for (unsigned i = 0; i < entries.size(); ++i)
                write(entries[i], *body.entries[i]);
        }
        void operator()(const Consensus::AppendReply& body)
        {
            auto it = out.initAppendReply();
            it.setAccepted(body.accepted);
            it.setMatch(body.match.value());
            it.setRejected(body.rejected.value());
            it.setHint(body.hint.value());
            it.setRound(body.round.value());
        }
        void operator()(const Consensus::SnapshotRequest& body)
        {
            auto it = out.initSnapshotRequest();
            write(it.initMeta(), body.snapshot->meta);
            it.setData(toData(body.snapshot->data));
            it.setRound(body.round.value());
        }
        void operator()(const Consensus::TimeoutNow&) { out.setTimeoutNow(); }
        void operator()(const Consensus::Announce&) { out.setAnnounce(); }
        void operator()(const Consensus::AnnounceReply& body)
        {
            auto reply = out.initAnnounceReply();
            reply.setInGroup(body.inGroup);
            auto members = reply.initMembers(static_cast<unsigned>(body.members.size()));
            for (unsigned i = 0; i < members.size(); ++i)
                members.set(i, body.members[i].value());
        }
    };

    Consensus::AppendRequest read(Schema::AppendRequest::Reader in)
    {
        Consensus::AppendRequest request;
        request.previousIndex = LogIndex(in.getPreviousIndex());
        request.previousTerm = Term(in.getPreviousTerm());
        request.commit = LogIndex(in.getCommit());
        request.round = Consensus::ReadRound(in.getRound());
        LogIndex last = request.previousIndex;
        for (auto entry : in.getEntries()) {
            request.entries.push_back(read(entry));
            last += LogIndex(1);
            if (request.entries.back()->index != last)
                throwMalformed("log entries are not consecutive");
        }
        return request;
    }

    Consensus::AppendReply read(Schema::AppendReply::Reader in)
    {
        return { in.getAccepted(), LogIndex(in.getMatch()), LogIndex(in.getRejected()), LogIndex(in.getHint()),
            Consensus::ReadRound(in.getRound()) };
    }

    Consensus::SnapshotRequest read(Schema::SnapshotRequest::Reader in)
    {
        Consensus::Snapshot snapshot { read(in.getMeta()), fromData(in.getData()) };
        return { std::make_shared<const Consensus::Snapshot>(std::move(snapshot)),
            Consensus::ReadRound(in.getRound()) };
    }

    Consensus::AnnounceReply readAnnounceReply(Schema::AnnounceReply::Reader in)
    {
        Consensus::AnnounceReply reply { in.getInGroup(), {} };
        for (auto member : in.getMembers())
            reply.members.emplace_back(std::string(member.cStr(), member.size()));
        return reply;
    }

    Consensus::MessageBody read(Schema::ConsensusMessage::Body::Reader in)
    {
        switch (in.which()) {
        case Schema::ConsensusMessage::Body::VOTE_REQUEST: {
            auto it = in.getVoteRequest();
            return Consensus::VoteRequest { it.getPre(), it.getTransfer(), LogIndex(it.getLastIndex()),
                Term(it.getLastTerm()) };
        }
        case Schema::ConsensusMessage::Body::VOTE_REPLY:
            return Consensus::VoteReply { in.getVoteReply().getPre(), in.getVoteReply().getGranted() };
        case Schema::ConsensusMessage::Body::APPEND_REQUEST:
            return read(in.getAppendRequest());
        case Schema::ConsensusMessage::Body::APPEND_REPLY:
            return read(in.getAppendReply());
        case Schema::ConsensusMessage::Body::SNAPSHOT_REQUEST:
            return read(in.getSnapshotRequest());
        case Schema::ConsensusMessage::Body::TIMEOUT_NOW:
            return Consensus::TimeoutNow {};
        case Schema::ConsensusMessage::Body::ANNOUNCE:
            return Consensus::Announce {};
        case Schema::ConsensusMessage::Body::ANNOUNCE_REPLY:
            return readAnnounceReply(in.getAnnounceReply());
        }
        throwMalformed("unknown kind of message");
    }

    void write(Schema::ConsensusMessage::Builder out, const Consensus::Message& message)
    {
        write(out.initFrom(), message.from);
        write(out.initTo(), message.to);
        out.setGroup(message.group.value());
        out.setTerm(message.term.value());
        std::visit(BodyWriter { out.initBody() }, message.body);
    }

    Consensus::Message read(Schema::ConsensusMessage::Reader in)
    {
        return { read(in.getFrom()), read(in.getTo()), Consensus::GroupId(in.getGroup()), Term(in.getTerm()),
            read(in.getBody()) };
    }

    std::string toBytes(capnp::MallocMessageBuilder& builder)
    {
        std::string bytes(capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word), '\0');
        kj::ArrayOutputStream out(kj::arrayPtr(reinterpret_cast<kj::byte*>(bytes.data()), bytes.size()));
        capnp::writeMessage(out, builder);
        return bytes;
    }

    template <typename Root, typename Value> std::string encodeRoot(const Value& value)
    {
        capnp::MallocMessageBuilder builder;
        write(builder.initRoot<Root>(), value);
        return toBytes(builder);
    }

    template <typename Root, typename Value> Result<Value> decodeRoot(std::string_view bytes, const char* step)
    {
        // The bytes may be unaligned, and Cap'n Proto needs aligned words.
        if (bytes.empty() || bytes.size() % sizeof(capnp::word))
            return Common::makeError(Reason::Corrupt, step, "the size is not a whole number of words");
        kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::memcpy(words.begin(), bytes.data(), bytes.size());
        try {
            capnp::FlatArrayMessageReader reader(words, { traversalLimitWords, 64 });
            return Value(read(reader.getRoot<Root>()));
        } catch (const kj::Exception& ex) {
            return Common::makeError(Reason::Corrupt, step, ex.getDescription().cStr());
        }
    }

} // namespace

std::string encode(const Consensus::Message& message) { return encodeRoot<Schema::ConsensusMessage>(message); }

Result<Consensus::Message> decodeConsensusMessage(std::string_view bytes)
{
    return decodeRoot<Schema::ConsensusMessage, Consensus::Message>(bytes, "decode-consensus-message");
}

std::string encode(const Consensus::Entry& entry) { return encodeRoot<Schema::Entry>(entry); }

Result<Consensus::EntryRef> decodeEntry(std::string_view bytes)
{
    return decodeRoot<Schema::Entry, Consensus::EntryRef>(bytes, "decode-entry");
}

std::string encode(const Consensus::HardState& hard) { return encodeRoot<Schema::HardState>(hard); }

Result<Consensus::HardState> decodeHardState(std::string_view bytes)
{
    return decodeRoot<Schema::HardState, Consensus::HardState>(bytes, "decode-hard-state");
}

std::string encode(const Consensus::SnapshotMeta& meta) { return encodeRoot<Schema::SnapshotMeta>(meta); }

Result<Consensus::SnapshotMeta> decodeSnapshotMeta(std::string_view bytes)
{
    return decodeRoot<Schema::SnapshotMeta, Consensus::SnapshotMeta>(bytes, "decode-snapshot-meta");
}

} // namespace Wire
