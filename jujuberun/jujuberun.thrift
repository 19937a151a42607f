// Messages between the daemons. Addresses are packed: 4 bytes for the IPv4
// address and 2 bytes for the port, big endian. Flow ids have 8 bytes. Times
// are in milliseconds unless a comment gives another unit.

// A caller's datagram that is forwarded to the owner of its flow.
struct Forward {
  1: string service_id
  2: i64 generation
  3: binary address             // service address that the caller sent to
  4: list<string> candidates    // home, backup and third candidate
  5: i16 hops
  6: optional binary balancer   // set by the first agent that forwards it
  7: optional string owner      // set by an agent that knows the owner
  8: optional list<string> passed
  9: binary caller
  10: binary payload
}

// A datagram from the owner of a flow, to be sent to the caller by a balancer.
struct Answer {
  1: string service_id
  2: binary address
  3: string owner
  4: binary caller
  5: binary payload
}

// Tells a balancer who owns a flow.
struct Hint {
  1: string service_id
  2: binary address
  3: binary caller
  4: string owner
  5: binary owner_agent
}

// Asks a balancer to send the caller a reset of its flow (see FlowReset).
struct Reset {
  1: binary address
  2: binary caller
  3: string reason
  4: i32 retry_after
  5: binary quoted
}

// Asks another agent for the owner of a flow, or for permission to own it.
struct Claim {
  1: binary flow
  2: string claimant
  3: i64 generation
  4: i16 rank                   // position of the claimant in the candidates
  5: bool starts                // false: only look up the owner, record nothing
  6: i64 token
}

struct ClaimReply {
  1: i64 token
  2: optional string owner
  3: optional binary owner_agent
  4: optional string service_id
}

struct FlowRecord {
  1: binary flow
  2: i64 created
}

// Registers flows of an owner at the homes of these flows.
struct Register {
  1: string owner
  2: string service_id
  3: binary agent
  4: list<FlowRecord> flows
  5: list<binary> gone
  6: i64 token
}

// Acknowledges a Register.
struct RegisterReply {
  1: i64 token
}

// Tells an agent that it does not own a flow, or tells a home that the owner
// has given up the flow.
struct Release {
  1: binary flow
  2: string owner
}

struct Load {
  1: string target
  2: optional i32 busy
  3: optional i32 queued
  4: optional i32 flows
  5: i32 age
  6: bool draining
  7: bool healthy
}

// Loads of the targets of one service, sent to two agents of the service each
// second. A report that a target is unhealthy has no load fields.
struct Loads {
  1: string service_id
  2: list<Load> loads
}

// A balancer that was seen recently. Used if the VM list does not contain the
// balancers.
struct Sighting {
  1: binary peer
  2: i32 age                    // ms since it was seen
}

// Gossip about the manifest generation, the VM list and the drain list, sent to
// a few random peers each second.
struct Status {
  1: string vm
  2: i64 generation
  3: binary digest
  4: i64 vm_index
  5: binary vm_digest
  6: list<Load> loads
  7: optional i64 asks          // token; the receiver must reply with a Status
  8: optional i64 replies       // token of the Status that this one replies to
  9: optional list<Sighting> sightings
  10: optional i32 read_age     // ms since any balancer last read the platform
  11: optional i32 epoch        // of the manifest; missing: 0
  12: optional i64 drain_index  // missing: no drained domain was ever known
  13: optional binary drain_digest
}

// Checks whether a silent peer is alive; the peer answers with a ProbeReply.
struct Probe {
  1: i64 token
}

struct ProbeReply {
  1: i64 token
  2: bool draining
}

// Asks an agent to reserve a slot for a request; see Run.
struct Reserve {
  1: i64 token
  2: string service_id
  3: i32 wait
}

struct ReserveReply {
  1: i64 token
  2: bool granted
  3: i32 busy
  4: i32 queued
}

struct Cancel {
  1: i64 token
}

// Rate of new flows that an agent grants to a balancer for a service.
struct Grant {
  1: string service_id
  2: double rate                // flows per second
  3: i32 expires                // ms from receipt
}

// TCP: asks for a document that is newer than the given version.
struct Fetch {
  1: string kind
  2: i64 index
  3: binary digest
  4: optional i32 epoch         // missing: 0
}

// TCP: a whole document (empty base), or its delta from the document that has
// the digest in the field base. The field data is empty if the sender has no
// newer document than the receiver.
struct Document {
  1: string kind
  2: i64 index
  3: binary digest
  4: optional binary base
  5: binary data                // zstd compressed
}

// TCP: asks for manifests that were in force recently; the reply is a History.
struct FetchHistory {
  1: binary digest              // of the manifest that the sender has in force
}

struct HistoryEntry {
  1: Document document          // base: previous entry, or manifest in force
  2: i64 since                  // ms since the manifest came into force
  3: i64 replaced               // ms since the manifest was replaced
}

struct History {
  1: list<HistoryEntry> entries // newest first
  2: bool complete              // false: the sender is still fetching history
}

// TCP: a request that has not started, to be run in a slot granted by Reserve.
struct Run {
  1: i64 token
  2: string service_id
  3: string request_id
  4: string method
  5: string path
  6: bool idempotent
  7: i32 timeout
  8: binary body
  9: list<string> headers       // name, value, name, value
}

struct RunReply {
  1: string outcome
  2: i32 status
  3: binary body
  4: list<string> headers
  5: string reason
  6: i32 retry_after
}

// A target accepted the start of a packet flow.
struct Accepted {
  1: binary key                 // packed caller and service address
  2: i64 sequence               // first sequence number of the target
  3: i32 busy                   // flows that wait for an answer from the target
  4: i32 service_time           // us, moving average
  5: optional i32 work          // us, last answer of the flow's service; once
  6: optional string pool       // of the agent's target; agents of earlier
                                // versions state it in no message
}

// An agent returned the start of a packet flow: its target has no free slot.
struct Declined {
  1: binary key
  2: i32 busy
  3: i32 service_time           // us, moving average
  4: bool draining              // the agent accepts no new flows
  5: optional i32 retry_after   // ms until a cold target has capacity; missing:
                                // declined for another reason
  6: optional bool needs_pool   // the balancer has to send the pool's name
  7: optional string pool       // of the agent's target
}

// Tells an agent how many starts its target may take while it is cold.
struct Warmup {
  1: string target              // id, which differs after each of its starts
  2: i32 limit                  // starts in any second
  3: i32 remaining              // ms until the warm-up ends
}

// Asks an agent which of these flows its target holds. Agents of earlier
// versions ignore it.
struct Locate {
  1: list<binary> keys          // packed caller and service addresses
}

// Answers a Locate for the flows that the agent does not know. It answers with
// an Accepted for each of the others.
struct NotHeld {
  1: list<binary> keys
  2: i64 started                // start of the agent, wall clock
  3: i64 running                // since that start, by a monotonic clock
  4: optional string pool       // of the agent's target
}

// Asks an agent at which service addresses its target may hold flows. Agents of
// earlier versions ignore it.
struct ListAddresses {
  1: i64 token
}

struct HeldAddresses {
  1: i64 token                  // of the ListAddresses that this one answers
  2: list<binary> addresses     // packed service addresses
  3: bool complete              // false: there may be flows at others
  4: i64 started                // start of the agent, wall clock
  5: i64 running                // since that start, by a monotonic clock
  6: optional string pool       // of the agent's target
}

struct Envelope {
  1: i64 sender                 // incarnation of the sending process
  2: i64 sequence               // counted for each receiver
  3: i64 sent                   // wall clock, ms
  10: optional Forward forward
  11: optional Answer answer
  12: optional Hint hint
  13: optional Reset reset
  14: optional Claim claim
  15: optional ClaimReply claim_reply
  16: optional Register register_flows
  17: optional Release release
  18: optional Status status
  19: optional Probe probe
  20: optional ProbeReply probe_reply
  21: optional Reserve reserve
  22: optional ReserveReply reserve_reply
  23: optional Cancel cancel
  24: optional Grant grant
  25: optional RegisterReply register_reply
  26: optional Loads loads
  27: optional Accepted accepted
  28: optional Declined declined
  29: optional Warmup warmup
  30: optional Fetch fetch
  31: optional Document document
  32: optional Run run
  33: optional RunReply run_reply
  34: optional Locate locate
  35: optional NotHeld not_held
  36: optional ListAddresses list_addresses
  37: optional HeldAddresses held_addresses
  40: optional FetchHistory fetch_history
  41: optional History history
}

// Sent to a caller, unencrypted and without a MAC, so that the caller need not
// wait for a time-out. The quoted bytes are the BLAKE2b-64 hash of the caller's
// datagram, so that only those who saw the datagram can make a valid reset.
struct FlowReset {
  1: string kind                // "jujuberun-reset"
  2: string reason
  3: i32 retry_after
  4: binary quoted
}
