namespace cpp sesame.wire

/** A statement about one entry node or backend server, spread by piggybacking. */
struct Rumour {
  /** Kind of statement: see RumourKind in Core/rumour.h. */
  1: i32 kind
  2: string subject
  3: i64 incarnation
  /** Kind-specific text: address and zone of a node, fingerprint of a request. */
  4: string detail
}

/** Direct probe. The answer says that the receiver is alive. */
struct Ping {
  /** Number of the probe; 0 if the message only carries rumours. */
  1: i64 sequence
  /** The answer is to carry everything that the receiver knows, for a node that joins. */
  2: bool wantsState
}

/** Asks the receiver to probe another node on behalf of the sender. */
struct PingRequest {
  1: i64 sequence
  2: string target
}

/** Asks for the fleet document if the receiver has a newer one than haveVersion. */
struct FleetQuery {
  1: i64 haveVersion
}

/** One open request that a leaving node passes to a peer. */
struct OpenRequest {
  1: string requestId
  2: string account
  3: string model
  4: i32 rank
  5: binary body
  6: i64 deliveredTokens
  7: string engine
  8: i64 attempt
  /** Text of the delivered tokens. */
  9: binary deliveredText
}

struct Handover {
  1: list<OpenRequest> requests
}

/** What a node knows about a request that may crash engines: see Core/suspecttable.h. */
struct SuspectRumour {
  1: i64 fingerprint
  2: string holder
  3: i64 sequence
  4: list<string> crashedOn
  5: list<string> cleared
  6: string engine
  7: bool quarantined
}

/** Exactly one of the request fields is set. */
struct PeerRequest {
  1: optional Ping ping
  2: optional PingRequest pingRequest
  3: optional FleetQuery fleetQuery
  4: optional Handover handover
  /** Rumours and the configuration version ride on every request. */
  10: list<Rumour> rumours
  11: i64 fleetVersion
  12: i64 incarnation
  13: bool storeReachable
  14: list<SuspectRumour> suspects
}

struct PeerAnswer {
  1: bool alive
  2: optional binary fleetDocument
  3: i32 acceptedRequests
  10: list<Rumour> rumours
  11: i64 fleetVersion
  12: i64 incarnation
  13: bool storeReachable
  14: list<SuspectRumour> suspects
}

/** A serialised PeerRequest or PeerAnswer with its authentication code. */
struct SealedMessage {
  1: string sender
  2: i64 sentAtMillis
  3: binary body
  /**
   * HMAC-SHA-256 over context, sender, sentAtMillis and body under the deployment's peer key.
   * The context is "request", or the authentication code of the request in an answer.
   */
  4: binary authenticationCode
}

exception PeerRefused {
  1: i32 code
  2: string reason
}

service Peer {
  SealedMessage exchange(1: SealedMessage message) throws (1: PeerRefused refused)
}
