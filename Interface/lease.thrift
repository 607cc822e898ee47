namespace cpp sesame.wire

/** The value of a lease object. */
struct Lease {
  /** Id of the holder, unique for each start of a process; empty after the lease was released. */
  1: string holder
  /** Number of the holder's last write. After a lost response, the holder can tell from it whether
      that write was stored. */
  2: i64 sequence
  3: i64 durationMillis
}

/** The state that a controller requests for one target. */
struct DesiredEntry {
  1: string target
  2: string state
  /** Sent with the order, so that the receiver can recognise a repetition of it. */
  3: string clientToken
}

/** The value of a desired-state object. */
struct DesiredStates {
  /** Fencing number of the lease holder that wrote this value. */
  1: i64 fencing
  2: list<DesiredEntry> entries
  /** Counter from which the client tokens are generated. */
  3: i64 tokens
}
