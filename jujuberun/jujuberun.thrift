// Messages between the daemons. Addresses are packed: 4 bytes IPv4, 2 bytes
// port, big endian. Flow ids are 8 bytes. Times are milliseconds.

// A caller's datagram on its way to the owner of its flow.
struct Forward {
  1: string service_id
  2: i64 generation
  3: binary address             // service address that the caller sent to
  4: list<string> candidates    // home, backup, third
  5: i16 hops
  6: optional binary balancer   // set by the first agent that hands it on
  7: optional string owner      // set by an agent that knows the owner
  8: optional list<string> passed
  9: binary caller
  10: binary payload
}

// A datagram from the owner to the caller, sent by a balancer.
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

// Asks a balancer to send the caller an explicit reset of its flow.
struct Reset {
  1: binary address
  2: binary caller
  3: string reason
  4: i32 retry_after
  5: binary quoted
}

// Asks another agent for the owner of a flow, or for leave to own it.
struct Claim {
  1: binary flow
  2: string claimant
  3: i64 generation
  4: i16 rank                   // place of the claimant among the candidates
  5: bool starts                // false: look up only, record nothing
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

// An owner tells the homes of its flows that it owns them.
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

// Tells an agent that a flow is not its own, or a home that the owner gave
// the flow up.
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

// Load of targets of one service, sent to two of its agents each second. A
// claim against a target has no load fields.
struct Loads {
  1: string service_id
  2: list<Load> loads
}

// A balancer that somebody heard, for balancers that no list names.
struct Sighting {
  1: binary peer
  2: i32 age                    // ms since it was heard
}

// Generation news, sent to a few random peers each second.
struct Status {
  1: string vm
  2: i64 generation
  3: binary digest
  4: i64 vm_index
  5: binary vm_digest
  6: list<Load> loads
  7: optional i64 asks          // token; the receiver replies with a Status
  8: optional i64 replies       // token of the Status that asked
  9: optional list<Sighting> sightings
  10: optional i32 read_age     // ms since somebody read the platform
}

// Asks a silent peer for a sign of life; answered by ProbeReply.
struct Probe {
  1: i64 token
}

struct ProbeReply {
  1: i64 token
  2: bool draining
}

// Asks an agent to keep a slot free for a request; see Run.
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

// Start rate that an agent grants to a balancer for a service.
struct Grant {
  1: string service_id
  2: double rate                // flows per second
  3: i32 expires                // ms from receipt
}

// TCP: asks for documents newer than the given versions.
struct Fetch {
  1: string kind
  2: i64 index
  3: binary digest
}

// TCP: a whole document (base empty) or a difference from the base digest.
struct Document {
  1: string kind
  2: i64 index
  3: binary digest
  4: optional binary base
  5: binary data                // zstd
}

// TCP: asks for manifests that were in force lately; replied to by History.
struct FetchHistory {
  1: binary digest              // of the text that the sender has in force
}

struct HistoryEntry {
  1: Document document          // base: the entry before, or the text in force
  2: i64 since                  // ms ago
  3: i64 replaced               // ms ago
}

struct History {
  1: list<HistoryEntry> entries // newest first
  2: bool complete              // false: the sender itself still asks for it
}

// TCP: a request that has not started, for a slot that Reserve granted.
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
  3: i32 busy                   // flows that wait for an answer of the target
  4: i32 service_time           // us, moving mean
}

// An agent passed the start of a packet flow back: its target has no free slot.
struct Declined {
  1: binary key
  2: i32 busy
  3: i32 service_time           // us, moving mean
  4: bool draining              // the agent takes no new flows
}

struct Envelope {
  1: i64 sender                 // incarnation of the sending process
  2: i64 sequence               // per receiver
  3: i64 sent                   // wall clock
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
  30: optional Fetch fetch
  31: optional Document document
  32: optional Run run
  33: optional RunReply run_reply
  40: optional FetchHistory fetch_history
  41: optional History history
}

// Sent to callers, in the clear, in place of silence. The quoted bytes are
// BLAKE2b-64 of the caller's datagram, so that others cannot forge a reset.
struct FlowReset {
  1: string kind                // "jujuberun-reset"
  2: string reason
  3: i32 retry_after
  4: binary quoted
}
