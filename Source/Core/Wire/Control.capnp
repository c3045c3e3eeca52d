@0xd3a1c07b5e2f4896;

# Log commands and snapshots of control instances, and the messages between entry and control instances.
# For compatibility, fields are only added; a change that older readers would misread needs a new formatVersion.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire::ControlSchema");

struct Error {
  reason @0 :UInt16;
  step @1 :Text;
  peer @2 :Text;
  message @3 :Text;
}

struct QueryRoute {
  name @0 :Text;
  group @1 :Text;
  kind @2 :UInt16;
  version @3 :UInt64;
  deadlineMs @4 :Float64;
  minimumCoverage @5 :Float64;
}

struct BackendGroup {
  name @0 :Text;
  slots @1 :Int64;
  connectionLimit @2 :Int64;
  connectTimeMs @3 :Float64;
}

struct Shard {
  id @0 :UInt32;
  begin @1 :UInt64;
  end @2 :UInt64;
}

struct IndexVersionMap {
  group @0 :Text;
  version @1 :UInt64;
  shards @2 :List(Shard);
}

struct Instance {
  id @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  draining @3 :Bool;
}

struct Resource {
  union {
    queryRoute @0 :QueryRoute;
    backendGroup @1 :BackendGroup;
    indexVersion @2 :IndexVersionMap;
    instance @3 :Instance;
    routeTable @4 :RouteTable;
    domainEvacuation @5 :DomainEvacuation;
  }
}

struct DomainEvacuation {
  domain @0 :Text;
  isEvacuated @1 :Bool;
}

struct RouteTable {
  number @0 :UInt64;
  document @1 :Text;
}

struct ResourceKey {
  kind @0 :UInt16;
  name @1 :Text;
}

struct StoredResource {
  resource @0 :Resource;
  version @1 :UInt64;
  changedBy @2 :Text;
}

struct Change {
  id @0 :Text;
  action @1 :UInt16;
  key @2 :ResourceKey;
  resource @3 :Resource; # Absent for a delete.
  madeFrom @4 :UInt64;
}

struct Rejected {
  error @0 :Error;
  winner @1 :StoredResource; # May be absent.
  winnerChange @2 :Text; # May be absent.
}

struct ChangeOutcome {
  union {
    acceptedRevision @0 :UInt64;
    rejected @1 :Rejected;
  }
}

struct Delta {
  key @0 :ResourceKey;
  stored @1 :StoredResource; # Absent if deleted.
  revision @2 :UInt64;
  change @3 :Text;
}

struct Changes {
  whole @0 :Bool;
  from @1 :UInt64;
  revision @2 :UInt64;
  deltas @3 :List(Delta);
}

struct Attempt {
  owner @0 :Text;
  incarnation @1 :UInt64;
  attempt @2 :UInt64;
}

struct Claim {
  id @0 :Text;
  route @1 :Text;
  body @2 :UInt64;
  by @3 :Attempt;
}

struct BackendAnswer {
  status @0 :Int32;
  contentType @1 :Text;
  body @2 :Data;
  bodyDropped @3 :Bool;
}

struct Outcome {
  id @0 :Text;
  route @1 :Text;
  by @2 :Attempt;
  union {
    completed @3 :BackendAnswer;
    refused @4 :BackendAnswer;
    notRun @5 :Void;
    unknown @6 :Void;
  }
}

struct Orphan {
  owner @0 :Text;
  incarnation @1 :UInt64;
}

struct ClaimOutcome {
  union {
    granted @0 :Void;
    running @1 :Attempt;
    completed @2 :BackendAnswer;
    refusedByBackend @3 :BackendAnswer;
    heldUnknown @4 :Attempt;
    refused @5 :UInt16;
  }
}

struct LiveInstance {
  id @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  domain @3 :Text;
}

struct EndedLease {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct HolderChange {
  joined @0 :List(LiveInstance);
  left @1 :List(EndedLease);
}

struct Command {
  formatVersion @0 :UInt32;
  union {
    change @1 :Change;
    claim @2 :Claim;
    outcome @3 :Outcome;
    orphan @4 :Orphan;
    expire @5 :UInt64;
    holders @6 :HolderChange;
  }
}

struct CommandOutcome {
  formatVersion @0 :UInt32;
  union {
    change @1 :ChangeOutcome;
    claim @2 :ClaimOutcome;
    record @3 :UInt16;
    acknowledged @4 :Void;
    refused @5 :Error;
  }
}

struct RememberedChange {
  id @0 :Text;
  body @1 :UInt64;
  outcome @2 :ChangeOutcome;
}

struct ConfigurationSnapshot {
  formatVersion @0 :UInt32;
  rememberedLimit @1 :UInt64;
  historyLimit @2 :UInt64;
  revision @3 :UInt64;
  resources @4 :List(StoredResource);
  history @5 :List(Delta);
  remembered @6 :List(RememberedChange);
  holders @7 :List(LiveInstance);
}

struct ClaimRecord {
  id @0 :Text;
  route @1 :Text;
  body @2 :UInt64;
  by @3 :Attempt;
  state @4 :UInt16;
  claimed @5 :Bool;
  reportedUnknown @6 :Bool;
  settledAt @7 :UInt64;
  ended @8 :List(Attempt);
  union {
    nothing @9 :Void;
    completed @10 :BackendAnswer;
    refused @11 :BackendAnswer;
  }
}

struct ClaimsSnapshot {
  formatVersion @0 :UInt32;
  retentionMs @1 :UInt64;
  maximumRecords @2 :UInt64;
  maximumTombstones @3 :UInt64;
  maximumBodyBytes @4 :UInt64;
  logTime @5 :UInt64;
  records @6 :List(ClaimRecord);
  orphaned @7 :List(Orphan);
  tombstones @8 :List(UInt64);
  maximumKeptBytes @9 :UInt64;
}

struct LiveListNumber {
  term @0 :UInt64;
  number @1 :UInt64;
}

struct LiveChanges {
  whole @0 :Bool;
  number @1 :LiveListNumber;
  joined @2 :List(LiveInstance);
  left @3 :List(Text);
}

struct ProposeRequest {
  shard @0 :UInt32;
  command @1 :Command;
}

struct RenewRequest {
  instance @0 :LiveInstance;
  applied @1 :UInt64;
  live @2 :LiveListNumber;
}

struct ReadRequest {
  kind @0 :UInt16;
  name @1 :Text;
  knownVersion @2 :UInt64;
}

struct ReleaseRequest {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct Request {
  formatVersion @0 :UInt32;
  union {
    propose @1 :ProposeRequest;
    renew @2 :RenewRequest;
    read @3 :ReadRequest;
    watchFrom @4 :UInt64;
    statusOf @5 :UInt64;
    release @6 :ReleaseRequest;
  }
}

struct RenewGrant {
  leaseMs @0 :Float64;
  changes @1 :Changes;
  live @2 :LiveChanges;
}

struct ReadFound {
  revision @0 :UInt64;
  resources @1 :List(StoredResource);
  isUnchanged @2 :Bool;
}

struct StatusFound {
  revision @0 :UInt64;
  state @1 :UInt16;
  missing @2 :List(Text);
  newLeader @3 :Bool;
  evacuated @4 :List(Text); # Failure domains.
}

# A reply has the same union member as its request. If the request failed, `error` is set and the union member is
# empty.
struct Reply {
  formatVersion @0 :UInt32;
  leader @1 :Text; # Absent if unknown.
  error @2 :Error; # Absent on success.
  union {
    propose @3 :CommandOutcome;
    renew @4 :RenewGrant;
    read @5 :ReadFound;
    watch @6 :Changes;
    status @7 :StatusFound;
    release @8 :Void;
  }
}
