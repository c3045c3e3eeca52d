@0xe3c8a1f05b7d2946;

# What entry instances say to each other when one gathers for another. Fields are only ever added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire::RelaySchema");

struct Field {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  formatVersion @0 :UInt32;
  tableNumber @1 :UInt64;
  id @2 :Text;
  host @3 :Text;
  groups @4 :List(UInt16); # Places in the route's list.
  mayMiss @11 :UInt16; # So many groups.
  timeLeftMs @5 :Float64; # Of the caller; negative if it did not say.
  waitedMs @6 :Float64; # Since the request came in.
  method @7 :Text;
  target @8 :Text;
  fields @9 :List(Field);
  body @10 :Data;
}

struct Missing {
  place @0 :UInt16; # Among the groups that were asked.
  ran @1 :UInt16; # Servers on which the call may have run.
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
