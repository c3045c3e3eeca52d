@0xe3c8a1f05b7d2946;

# What entry instances say to each other when one gathers for another. Fields are only ever added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire::RelaySchema");

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  tableNumber @0 :UInt64;
  id @1 :Text;
  host @2 :Text;
  groups @3 :List(UInt16); # Places in the route's list.
  timeLeftMs @4 :Float64; # Of the caller; negative if it did not say.
  waitedMs @5 :Float64; # Since the request came in.
  method @6 :Text;
  target @7 :Text;
  fields @8 :List(Field);
  body @9 :Data;
  bundle @10 :UInt64; # Unique at the instance that asks.
}

struct Request {
  formatVersion @0 :UInt32;
  union {
    call @1 :Call;
    resume @2 :Resume;
  }
  asker @3 :Text; # The address of the instance that asks.
}

struct Missing {
  place @0 :UInt16; # Among the groups that were asked.
  isPending @1 :Bool; # An answer may still come.
}

# Asks for more of a bundle that was delivered.
struct Resume {
  bundle @0 :UInt64; # As in Call.
  needed @1 :UInt16;
}

struct Merged {
  signatures @0 :List(Text);
  missing @1 :List(Missing);
  body @2 :Data;
}

struct Refusal {
  reason @0 :UInt16;
  step @1 :Text;
  peer @2 :Text;
  message @3 :Text;
  hasNotRun @4 :Bool;
  retryAfterMs @5 :Float64;
}

struct Answer {
  formatVersion @0 :UInt32;
  union {
    merged @1 :Merged;
    refusal @2 :Refusal;
  }
}
