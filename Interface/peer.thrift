namespace cpp sesame.wire

/** A membership or health statement about one entry node or backend server. Rumours are piggybacked
    on all peer messages. */
struct Rumour {
  /** Kind of the statement; see RumourKind in Core/rumour.h. */
  1: i32 kind
  2: string subject
  3: i64 incarnation
  /** Text whose meaning depends on the kind, for example the addresses and the zone of a node or the
      fingerprint of a request. */
  4: string detail
}

/** Direct probe. An answer shows that the receiver is alive. */
struct Ping {
  /** Number of the probe, or 0 if the message only carries rumours. */
  1: i64 sequence
  /** Requests an answer with the receiver's complete state. A node sets this when it joins. */
  2: bool wantsState
}

/** Indirect probe: asks the receiver to probe another node on behalf of the sender. */
struct PingRequest {
  1: i64 sequence
  2: string target
}

/** Asks for the fleet document if the receiver's document has a higher version than haveVersion. */
struct FleetQuery {
  1: i64 haveVersion
}

/** An open request that a node which is shutting down passes to a peer. */
struct OpenRequest {
  1: string requestId
  2: string account
  3: string model
  4: i32 rank
  5: binary body
  6: i64 deliveredTokens
  7: string engine
  8: i64 attempt
  /** Text of the tokens that were delivered to the caller. */
  9: binary deliveredText
}

struct Handover {
  1: list<OpenRequest> requests
}

/** What a node knows about a request that may crash engines; see Core/suspecttable.h. */
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
  /** Every request carries rumours and the version of the fleet document. */
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
