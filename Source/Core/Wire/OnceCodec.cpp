#include "Wire/OnceCodec.h"

#include "Wire/Fields.h"
#include "Wire/FlatMessage.h"
#include "Wire/OnceStructs.h"

#include <algorithm>
#include <vector>

namespace Wire {

namespace {

    using RecordEntry = std::pair<const Common::RequestId, Once::Record>;

    void writeRecord(ControlSchema::ClaimRecord::Builder out, const RecordEntry& entry)
    {
        const Once::Record& record = entry.second;
        out.setId(toText(entry.first));
        out.setRoute(toText(record.route));
        out.setBody(record.body.value());
        write(out.initBy(), record.by);
        out.setState(toNumber(record.state));
        out.setClaimed(record.claimed);
        out.setReportedUnknown(record.reportedUnknown);
        out.setSettledAt(record.settledAt.value());
        auto ended = out.initEnded(record.ended.size());
        for (unsigned i = 0; i < ended.size(); ++i)
            write(ended[i], record.ended[i]);
        if (!record.done)
            out.setNothing();
        else if (const auto* completed = std::get_if<Once::Completed>(&record.done->outcome))
            write(out.initCompleted(), *completed);
        else
            write(out.initRefused(), std::get<Once::RefusedByBackend>(record.done->outcome));
    }

    std::optional<Once::Done> readDone(ControlSchema::ClaimRecord::Reader in)
    {
        switch (in.which()) {
        case ControlSchema::ClaimRecord::NOTHING:
            return std::nullopt;
        case ControlSchema::ClaimRecord::COMPLETED:
            return Once::Done { readCompleted(in.getCompleted()) };
        case ControlSchema::ClaimRecord::REFUSED:
            return Once::Done { readRefused(in.getRefused()) };
        }
        failDecode("unknown kind of recorded outcome");
    }

    Once::Record readRecord(ControlSchema::ClaimRecord::Reader in)
    {
        Once::Record record;
        record.route = fromText<Common::RouteName>(in.getRoute());
        record.body = Common::Fingerprint(in.getBody());
        record.by = read(in.getBy());
        record.state = fromNumber(in.getState(), Once::RecordState::Done);
        record.claimed = in.getClaimed();
        record.reportedUnknown = in.getReportedUnknown();
        record.settledAt = Once::LogTime(in.getSettledAt());
        for (auto attempt : in.getEnded())
            record.ended.push_back(read(attempt));
        record.done = readDone(in);
        require(record.done.has_value() == (record.state == Once::RecordState::Done),
            "the outcome does not match the record state");
        return record;
    }

    // Sorted by id: equal states must give equal bytes, and the map has no fixed order.
    void writeRecords(ControlSchema::ClaimsSnapshot::Builder out, const Once::Claims& claims)
    {
        std::vector<const RecordEntry*> entries;
        entries.reserve(claims.records.size());
        for (const RecordEntry& entry : claims.records)
            entries.push_back(&entry);
        std::sort(entries.begin(), entries.end(), [](auto* a, auto* b) { return a->first < b->first; });
        auto records = out.initRecords(entries.size());
        for (unsigned i = 0; i < records.size(); ++i)
            writeRecord(records[i], *entries[i]);
    }

    void writeOrphaned(ControlSchema::ClaimsSnapshot::Builder out, const Once::Claims& claims)
    {
        std::vector<Once::Orphan> owners;
        for (const auto& [owner, incarnation] : claims.orphaned)
            owners.push_back({ owner, incarnation });
        std::sort(owners.begin(), owners.end(), [](auto& a, auto& b) { return a.owner < b.owner; });
        auto orphaned = out.initOrphaned(owners.size());
        for (unsigned i = 0; i < orphaned.size(); ++i)
            write(orphaned[i], owners[i]);
    }

    Once::Claims readClaims(ControlSchema::ClaimsSnapshot::Reader in)
    {
        Once::Claims claims;
        claims.settings = { in.getRetentionMs(), in.getMaximumRecords(), in.getMaximumTombstones(),
            in.getMaximumBodyBytes(), in.getMaximumKeptBytes() };
        claims.logTime = Once::LogTime(in.getLogTime());
        for (auto entry : in.getRecords())
            claims.records.emplace(fromText<Common::RequestId>(entry.getId()), readRecord(entry));
        for (auto entry : in.getOrphaned()) {
            Once::Orphan orphan = read(entry);
            claims.orphaned[orphan.owner] = orphan.incarnation;
        }
        auto tombstones = in.getTombstones();
        claims.tombstones.reserve(tombstones.size());
        for (uint64_t tombstone : tombstones)
            claims.tombstones.push_back(tombstone);
        require(std::is_sorted(claims.tombstones.begin(), claims.tombstones.end()), "tombstones are not sorted");
        rebuildIndexes(claims);
        return claims;
    }

} // namespace

std::string encodeSnapshot(const Once::Claims& claims)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<ControlSchema::ClaimsSnapshot>();
    out.setFormatVersion(formatVersion);
    out.setRetentionMs(claims.settings.retentionMs);
    out.setMaximumRecords(claims.settings.maximumRecords);
    out.setMaximumTombstones(claims.settings.maximumTombstones);
    out.setMaximumBodyBytes(claims.settings.maximumBodyBytes);
    out.setMaximumKeptBytes(claims.settings.maximumKeptBytes);
    out.setLogTime(claims.logTime.value());
    writeRecords(out, claims);
    writeOrphaned(out, claims);
    auto tombstones = out.initTombstones(claims.tombstones.size());
    for (unsigned i = 0; i < tombstones.size(); ++i)
        tombstones.set(i, claims.tombstones[i]);
    return serializeFlat(message);
}

Common::Result<Once::Claims> decodeClaims(std::string_view bytes)
{
    return readFlatMessage<ControlSchema::ClaimsSnapshot>(bytes, readClaims);
}

} // namespace Wire
