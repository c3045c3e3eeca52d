@0xb8f1c2d4a6e37015;

# Consensus messages and the log records on disk. For compatibility, fields are only added, never changed or removed.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire::Schema");

struct MemberId {
  instance @0 :Text;
  storage @1 :UInt64;
}

struct Member {
  id @0 :MemberId;
  voter @1 :Bool;
}

struct Membership {
  group @0 :UInt64;
  members @1 :List(Member);
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  union {
    noOp @2 :Void;
    command @3 :Data;
    membership @4 :Membership;
  }
}

struct HardState {
  term @0 :UInt64;
  vote @1 :MemberId;
}

struct SnapshotMeta {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :Membership;
}

struct VoteRequest {
  pre @0 :Bool;
  transfer @1 :Bool;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
}

struct VoteReply {
  pre @0 :Bool;
  granted @1 :Bool;
}

struct AppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  entries @2 :List(Entry);
  commit @3 :UInt64;
  round @4 :UInt64;
}

struct AppendReply {
  accepted @0 :Bool;
  match @1 :UInt64;
  rejected @2 :UInt64;
  hint @3 :UInt64;
  round @4 :UInt64;
}

struct SnapshotRequest {
  meta @0 :SnapshotMeta;
  data @1 :Data;
  round @2 :UInt64;
}

struct AnnounceReply {
  inGroup @0 :Bool;
  members @1 :List(Text); # Instances in the sender's group membership.
}

struct ConsensusMessage {
  from @0 :MemberId;
  to @1 :MemberId;
  group @2 :UInt64;
  term @3 :UInt64;
  body :union {
    voteRequest @4 :VoteRequest;
    voteReply @5 :VoteReply;
    appendRequest @6 :AppendRequest;
    appendReply @7 :AppendReply;
    snapshotRequest @8 :SnapshotRequest;
    timeoutNow @9 :Void;
    announce @10 :Void;
    announceReply @11 :AnnounceReply;
  }
}
