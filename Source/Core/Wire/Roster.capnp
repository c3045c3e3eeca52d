@0xd2a7719b06c4e58f;

# Messages by which control instances report backend servers and the control group to entry instances. For
# compatibility, fields are only added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire::RosterSchema");

struct Server {
  id @0 :Text;
  group @1 :Text;
  address @2 :Text;
  domain @3 :Text;
  incarnation @4 :UInt64;
  sequence @5 :UInt64;
  slots @6 :Int64;
  warmupLeftMs @7 :Float64;
  standing @8 :UInt16;
}

struct Changes {
  whole @0 :Bool;
  revision @1 :UInt64;
  servers @2 :List(Server);
}

struct Peer {
  address @0 :Text;
  domain @1 :Text;
}

struct Known {
  source @0 :Text; # Address of a control instance.
  epoch @1 :UInt64;
  revisions @2 :List(UInt64); # One per shard of the roster.
  peersVersion @3 :UInt64;
}

struct Strike {
  server @0 :Text;
  incarnation @1 :UInt64;
  run @2 :UInt64;
  ageMs @3 :Float64;
  isRefuted @4 :Bool;
}

# A strike of instances that know a request by one digest only. Not sent or read any more.
struct SuspectRecord {
  contentHigh @0 :UInt64;
  contentLow @1 :UInt64;
  group @2 :Text;
  round @3 :UInt64;
  strikes @4 :List(Strike);
}

struct Digest {
  high @0 :UInt64;
  low @1 :UInt64;
}

# A connection that was lost while a server had a request.
struct Loss {
  server @0 :Text;
  incarnation @1 :UInt64;
  group @2 :Text;
  run @3 :UInt64;
  variant @4 :UInt64;
  ageMs @5 :Float64;
  tookMs @6 :Float64; # From the send.
  isRefuted @7 :Bool;
  isAnswered @8 :Bool;
  wasAnswered @9 :Bool;
  domain @10 :Text;
}

# Losses under one key of a request.
struct LossRecord {
  breadth @0 :UInt16;
  request @1 :Digest; # This one and the others are set as far as the breadth needs.
  content @2 :Digest;
  pattern @3 :Digest;
  losses @4 :List(Loss);
}

struct Suspects {
  epoch @0 :UInt64; # Of the replying instance.
  revisions @1 :List(UInt64); # One per shard of the evidence.
  records @2 :List(SuspectRecord);
  losses @3 :List(LossRecord);
}

struct WatchRequest {
  follower @0 :Text;
  address @1 :Text; # Of the follower; given to its peers.
  domain @2 :Text;
  isLeaving @3 :Bool;
  isControl @4 :Bool;
  known @5 :List(Known);
  tableNumber @6 :UInt64;
  suspectsEpoch @7 :UInt64; # The version of the receiver's evidence that the follower has.
  suspectsRevisions @8 :List(UInt64);
  evacuations @9 :UInt64; # The revision of the evacuations that the follower has.
}

struct SourceState {
  source @0 :Text;
  domain @1 :Text;
  epoch @2 :UInt64;
  silentMs @3 :Float64;
  shards @4 :List(Changes);
  peers @5 :List(Peer); # Instances that recently sent requests to the source; empty if the follower has this version.
  peersVersion @6 :UInt64;
  tableNumber @7 :UInt64; # The latest one that the source has applied, as far as the replying instance knows.
}

struct WatchReply {
  formatVersion @0 :UInt32;
  sources @1 :List(SourceState);
  tableNumber @2 :UInt64;
  members @3 :List(Text); # Addresses of the control instances.
  logBehindMs @4 :Float64; # Since the replying instance last held all committed changes; infinite if it has not yet.
  suspects @5 :Suspects;
  evacuations @6 :Evacuations; # Revision 0 if the follower has them.
}

struct Evacuations {
  revision @0 :UInt64;
  domains @1 :List(Text);
}

struct TableRequest {
  number @0 :UInt64;
}

struct TableReply {
  formatVersion @2 :UInt32;
  number @0 :UInt64;
  document @1 :Text;
}

struct Departure {
  server @0 :Text;
  incarnation @1 :UInt64;
  isNamed @2 :Bool;
  receivedAt @3 :UInt64;
}

struct DepartureReply {
  held @0 :UInt64;
  formatVersion @1 :UInt32;
}

struct Request {
  formatVersion @2 :UInt32;
  union {
    watch @0 :WatchRequest;
    table @1 :TableRequest;
    suspects @3 :Suspects; # A report; the reply is empty.
    departure @4 :Departure;
  }
}
