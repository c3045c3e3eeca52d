@0xd2a7719b06c4e58f;

# What control instances tell entry instances of backend servers and of the group itself. Fields are only ever added.

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

struct WatchRequest {
  follower @0 :Text;
  epoch @1 :UInt64; # Of the answers so far; 0 before the first.
  revisions @2 :List(UInt64); # One for each shard of the roster.
  tableNumber @3 :UInt64;
  address @4 :Text; # Of the follower, for its peers.
  domain @5 :Text;
  isLeaving @6 :Bool;
  peersVersion @7 :UInt64; # Of the list of peers that the follower has.
  wantsPeers @8 :Bool;
}

struct Peer {
  address @0 :Text;
  domain @1 :Text;
}

struct WatchReply {
  formatVersion @5 :UInt32;
  epoch @0 :UInt64;
  shards @1 :List(Changes);
  tableNumber @2 :UInt64;
  members @3 :List(Text); # Addresses of the control instances.
  peers @4 :List(Peer); # Instances that asked lately; empty if the follower has this version.
  peersVersion @6 :UInt64;
  domain @7 :Text; # Of the control instance.
}

struct TableRequest {
  number @0 :UInt64;
}

struct TableReply {
  formatVersion @2 :UInt32;
  number @0 :UInt64;
  document @1 :Text;
}

struct Request {
  formatVersion @2 :UInt32;
  union {
    watch @0 :WatchRequest;
    table @1 :TableRequest;
  }
}
