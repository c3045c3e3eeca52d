@0xd1c6a1f0b3e54a77;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire::Schema");

# For compatibility, fields are only added; field numbers are never reused.

struct Replica {
  version @0 :UInt64;
  shard @1 :UInt32;
}

struct Server {
  id @0 :Text;
  address @1 :Text;
  domain @2 :Text;
  group @3 :Text;
  incarnation @4 :UInt64;
  sequence @5 :UInt64;
  state @6 :UInt8;
  replicas @7 :List(Replica);
  owner @8 :Text;
  life @9 :UInt8;
}

struct Member {
  id @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  domain @3 :Text;
  state @4 :UInt8;
  sequence @5 :UInt64;
  life @6 :UInt8;
}

struct Loss {
  server @0 :Text;
  incarnation @1 :UInt64;
}

struct Suspicion {
  fingerprint @0 :UInt64;
  round @1 :UInt64;
  losses @2 :List(Loss);
  remainingMilliseconds @3 :UInt32;
}

struct Record {
  union {
    server @0 :Server;
    instance @1 :Member;
    fingerprint @2 :Suspicion;
  }
}

struct Renewal {
  server @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
}

struct Bucket {
  bucket @0 :UInt32;
  keys @1 :List(UInt64);
  versions @2 :List(UInt32);
}

struct Gossip {
  from @0 :Text;
  time @1 :UInt64;
  records @2 :List(Record);
  renewals @3 :List(Renewal);
  hasDigest @4 :Bool;
  digest @5 :UInt64;
  wantsReply @6 :Bool;
  buckets @7 :List(UInt32);
  summaries @8 :List(Bucket);
  wanted @9 :List(UInt64);
  probe @10 :Text;
  heard @11 :Text;
}

struct Event {
  instance @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  time @3 :UInt64;
  wallClockMilliseconds @4 :Float64;
  kind @5 :UInt16;
  subject @6 :Text;
  detail @7 :Text;
}

struct Timeline {
  events @0 :List(Event);
}
