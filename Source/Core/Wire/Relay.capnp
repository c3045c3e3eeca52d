@0xe3c8a1f05b7d2946;

# Messages between entry instances when one gathers for another. For compatibility, fields are only added.

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
  groups @3 :List(UInt16); # Indexes in the route's list.
  timeLeftMs @4 :Float64; # Until the caller's deadline; negative if it set none.
  waitedMs @5 :Float64; # Since the request was received.
  method @6 :Text;
  target @7 :Text;
  fields @8 :List(Field);
  body @9 :Data;
  bundle @10 :UInt64; # Unique within an incarnation of the requesting instance.
  incarnation @11 :UInt64; # Of the requesting instance; 0 from instances that do not send it.
  objectiveInMs @12 :Float64 = -1; # When the requester needs the answers that are in; negative if not given.
  contentHigh @13 :UInt64; # The keys of the call; 0 from instances that do not send them.
  contentLow @14 :UInt64;
  requestHigh @15 :UInt64;
  requestLow @16 :UInt64;
  patternHigh @17 :UInt64;
  patternLow @18 :UInt64;
  tenant @19 :Text; # Of the identified caller; absent for a call without one.
}

struct Request {
  formatVersion @0 :UInt32;
  union {
    call @1 :Call;
    resume @2 :Resume;
    rate @4 :RateClaim;
    cancel @5 :Cancel;
    tenantRate @6 :TenantRateClaim;
  }
  asker @3 :Text; # Address of the requesting instance.
}

# Asks the keeper of a server that names a limit for the right to send it requests.
struct RateClaim {
  server @0 :Text;
  incarnation @1 :UInt64;
  perSecond @2 :Float64; # The limit as the asker knows it.
  ageMs @3 :Float64; # Of that knowledge.
  wanted @4 :UInt16;
}

struct RateGrant {
  formatVersion @0 :UInt32;
  tokens @1 :UInt16;
  retryInMs @2 :Float64;
  closedForMs @3 :Float64 = -1; # As retryInMs from instances that do not send it.
  isKeeper @4 :Bool = true; # Settled.
  incarnation @5 :UInt64; # Of the granting instance.
}

# Asks the keeper of a tenant's quota, or its substitute, for the right to admit calls.
struct TenantRateClaim {
  tenant @0 :Text;
  tableNumber @1 :UInt64; # Of the table that the quota is from.
  perSecond @2 :Float64;
  burst @3 :Float64;
  wanted @4 :UInt16;
}

struct Missing {
  place @0 :UInt16; # Index in the requested groups.
  isPending @1 :Bool; # An answer may still arrive.
}

# Requests further parts of a bundle that was already answered.
struct Resume {
  bundle @0 :UInt64; # As in Call.
  needed @1 :UInt16;
  incarnation @2 :UInt64; # As in Call.
  call @3 :Text; # The id of the bundle's call.
}

# Ends a bundle whose answer nobody waits for.
struct Cancel {
  bundle @0 :UInt64; # As in Call.
  incarnation @1 :UInt64; # As in Call.
  call @2 :Text; # The id of the bundle's call.
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
  call @3 :Text; # The id of the call that it belongs to.
  tookMs @4 :Float64; # From the arrival of the request to this answer.
}
