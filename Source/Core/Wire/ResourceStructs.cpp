#include "Wire/ResourceStructs.h"

#include "Wire/Fields.h"

namespace Wire {

namespace {

    using Common::FailureDomain;
    using Common::GroupName;
    using Common::IndexVersion;
    using Common::Milliseconds;
    using Common::Revision;

    struct ResourceWriter {
        ControlSchema::Resource::Builder& out;

        void operator()(const Model::QueryRoute& route) const
        {
            auto part = out.initQueryRoute();
            part.setName(toText(route.name));
            part.setGroup(toText(route.group));
            part.setKind(toNumber(route.kind));
            part.setVersion(route.version.value());
            part.setDeadlineMs(route.deadline.value());
            part.setMinimumCoverage(route.minimumCoverage.value());
        }

        void operator()(const Model::BackendGroup& group) const
        {
            auto part = out.initBackendGroup();
            part.setName(toText(group.name));
            part.setSlots(group.slots.value());
            part.setConnectionLimit(group.connectionLimit.value());
            part.setConnectTimeMs(group.connectTime.value());
        }

        void operator()(const Model::IndexVersionMap& map) const
        {
            auto part = out.initIndexVersion();
            part.setGroup(toText(map.group));
            part.setVersion(map.version.value());
            auto shards = part.initShards(map.shards.size());
            for (unsigned i = 0; i < shards.size(); ++i) {
                shards[i].setId(map.shards[i].id.value());
                shards[i].setBegin(map.shards[i].range.begin);
                shards[i].setEnd(map.shards[i].range.end);
            }
        }

        void operator()(const Model::Instance& instance) const
        {
            auto part = out.initInstance();
            part.setId(toText(instance.id));
            part.setDomain(toText(instance.domain));
            part.setAddress(toText(instance.address));
            part.setDraining(instance.draining);
        }

        void operator()(const Model::RouteTable& table) const
        {
            auto part = out.initRouteTable();
            part.setNumber(table.number.value());
            part.setDocument(table.document);
        }

        void operator()(const Model::DomainEvacuation& evacuation) const
        {
            auto part = out.initDomainEvacuation();
            part.setDomain(toText(evacuation.domain));
            part.setIsEvacuated(evacuation.isEvacuated);
        }
    };

    Model::QueryRoute readRoute(ControlSchema::QueryRoute::Reader in)
    {
        return { fromText<Common::RouteName>(in.getName()), fromText<GroupName>(in.getGroup()),
            fromNumber(in.getKind(), Model::RouteKind::RunOnce), IndexVersion(in.getVersion()),
            Milliseconds(in.getDeadlineMs()), Common::Ratio(in.getMinimumCoverage()) };
    }

    Model::BackendGroup readGroup(ControlSchema::BackendGroup::Reader in)
    {
        return { fromText<GroupName>(in.getName()), Common::Slots(in.getSlots()),
            Common::Connections(in.getConnectionLimit()), Milliseconds(in.getConnectTimeMs()) };
    }

    Model::IndexVersionMap readIndexVersion(ControlSchema::IndexVersionMap::Reader in)
    {
        Model::IndexVersionMap map { fromText<GroupName>(in.getGroup()), IndexVersion(in.getVersion()), {} };
        auto shards = in.getShards();
        map.shards.reserve(shards.size());
        for (auto shard : shards)
            map.shards.push_back({ Common::ShardId(shard.getId()), { shard.getBegin(), shard.getEnd() } });
        return map;
    }

    Model::Instance readInstance(ControlSchema::Instance::Reader in)
    {
        return { fromText<Common::InstanceId>(in.getId()), fromText<FailureDomain>(in.getDomain()),
            fromText<Common::Address>(in.getAddress()), in.getDraining() };
    }

} // namespace

void write(ControlSchema::Error::Builder out, const Common::Error& error)
{
    out.setReason(toNumber(error.reason));
    out.setStep(toText(error.step));
    out.setPeer(toText(error.peer));
    out.setMessage(toText(error.message));
}

Common::Error read(ControlSchema::Error::Reader in)
{
    return { fromNumber(in.getReason(), Common::lastReason), fromText(in.getStep()), fromText(in.getPeer()),
        fromText(in.getMessage()) };
}

void write(ControlSchema::Resource::Builder out, const Model::Resource& resource)
{
    std::visit(ResourceWriter { out }, resource);
}

Model::Resource read(ControlSchema::Resource::Reader in)
{
    switch (in.which()) {
    case ControlSchema::Resource::QUERY_ROUTE:
        return readRoute(in.getQueryRoute());
    case ControlSchema::Resource::BACKEND_GROUP:
        return readGroup(in.getBackendGroup());
    case ControlSchema::Resource::INDEX_VERSION:
        return readIndexVersion(in.getIndexVersion());
    case ControlSchema::Resource::ROUTE_TABLE:
        return Model::RouteTable { Common::TableNumber(in.getRouteTable().getNumber()),
            fromText(in.getRouteTable().getDocument()) };
    case ControlSchema::Resource::DOMAIN_EVACUATION:
        return Model::DomainEvacuation { fromText<FailureDomain>(in.getDomainEvacuation().getDomain()),
            in.getDomainEvacuation().getIsEvacuated() };
    case ControlSchema::Resource::INSTANCE:
        return readInstance(in.getInstance());
    }
    failDecode("unknown kind of resource");
}

void write(ControlSchema::ResourceKey::Builder out, const Model::ResourceKey& key)
{
    out.setKind(toNumber(key.kind));
    out.setName(toText(key.name));
}

Model::ResourceKey read(ControlSchema::ResourceKey::Reader in)
{
    return { fromNumber(in.getKind(), Model::lastKind), fromText(in.getName()) };
}

void write(ControlSchema::StoredResource::Builder out, const Control::StoredResource& stored)
{
    write(out.initResource(), stored.resource);
    out.setVersion(stored.version.value());
    out.setChangedBy(toText(stored.changedBy));
}

Control::StoredResource read(ControlSchema::StoredResource::Reader in)
{
    return { read(in.getResource()), Revision(in.getVersion()), fromText<Common::ChangeId>(in.getChangedBy()) };
}

void write(ControlSchema::Change::Builder out, const Control::Change& change)
{
    out.setId(toText(change.id));
    out.setAction(toNumber(change.action));
    write(out.initKey(), change.key);
    if (change.resource)
        write(out.initResource(), *change.resource);
    out.setMadeFrom(change.madeFrom.value());
}

Control::Change read(ControlSchema::Change::Reader in)
{
    Control::Change change { fromText<Common::ChangeId>(in.getId()), fromNumber(in.getAction(), Control::lastAction),
        read(in.getKey()), std::nullopt, Revision(in.getMadeFrom()) };
    if (in.hasResource())
        change.resource = read(in.getResource());
    return change;
}

void write(ControlSchema::ChangeOutcome::Builder out, const Control::ChangeOutcome& outcome)
{
    if (const auto* accepted = std::get_if<Control::Accepted>(&outcome)) {
        out.setAcceptedRevision(accepted->revision.value());
        return;
    }
    const auto& rejected = std::get<Control::Rejected>(outcome);
    auto part = out.initRejected();
    write(part.initError(), rejected.error);
    if (rejected.winner)
        write(part.initWinner(), *rejected.winner);
    if (rejected.winnerChange)
        part.setWinnerChange(toText(*rejected.winnerChange));
}

Control::ChangeOutcome read(ControlSchema::ChangeOutcome::Reader in)
{
    if (in.isAcceptedRevision())
        return Control::Accepted { Revision(in.getAcceptedRevision()) };
    require(in.isRejected(), "unknown kind of change outcome");
    auto part = in.getRejected();
    Control::Rejected rejected { read(part.getError()), std::nullopt, std::nullopt };
    if (part.hasWinner())
        rejected.winner = read(part.getWinner());
    if (part.hasWinnerChange())
        rejected.winnerChange = fromText<Common::ChangeId>(part.getWinnerChange());
    return rejected;
}

void write(ControlSchema::Delta::Builder out, const Control::Delta& delta)
{
    write(out.initKey(), delta.key);
    if (delta.stored)
        write(out.initStored(), *delta.stored);
    out.setRevision(delta.revision.value());
    out.setChange(toText(delta.change));
}

Control::Delta read(ControlSchema::Delta::Reader in)
{
    Control::Delta delta { read(in.getKey()), std::nullopt, Revision(in.getRevision()),
        fromText<Common::ChangeId>(in.getChange()) };
    if (in.hasStored())
        delta.stored = read(in.getStored());
    return delta;
}

void write(ControlSchema::Changes::Builder out, const Control::Changes& changes)
{
    out.setWhole(changes.whole);
    out.setFrom(changes.from.value());
    out.setRevision(changes.revision.value());
    auto deltas = out.initDeltas(changes.deltas.size());
    for (unsigned i = 0; i < deltas.size(); ++i)
        write(deltas[i], changes.deltas[i]);
}

Control::Changes read(ControlSchema::Changes::Reader in)
{
    Control::Changes changes { in.getWhole(), Revision(in.getFrom()), Revision(in.getRevision()), {} };
    auto deltas = in.getDeltas();
    changes.deltas.reserve(deltas.size());
    for (auto delta : deltas)
        changes.deltas.push_back(read(delta));
    return changes;
}

} // namespace Wire
