@0xd3a7c1f05e8b2946;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Peer::Schema");

# RPC interface of a process: calls with opaque payloads to one of its services, and heartbeats.
# Generate with: cd Source/Core && capnp compile -oc++ Peer/Peer.capnp
interface Endpoint {
  call @0 (service :UInt16, from :Text, logicalTime :UInt64, payload :Data)
      -> (payload :Data, logicalTime :UInt64, errorReason :UInt16, errorStep :Text, errorPeer :Text,
          errorMessage :Text);
  # errorReason is 0 for success, otherwise the value of Common::Reason plus one.

  heartbeat @1 () -> ();
}
