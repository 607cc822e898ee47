namespace cpp sesame.wire

/** The value of a lease object. */
struct Lease {
  /** Unique for each start of a process; empty after a release. */
  1: string holder
  /** Counts the holder's writes, so that it recognises the last one after a lost answer. */
  2: i64 sequence
  3: i64 durationMillis
}

/** What a controller wants of one target. */
struct DesiredEntry {
  1: string target
  2: string state
  /** Sent with the order, so that a repeated order is recognised. */
  3: string clientToken
}

/** The value of a desired-state object. */
struct DesiredStates {
  /** Fencing number of the holder that wrote last. */
  1: i64 fencing
  2: list<DesiredEntry> entries
  /** Numbers the client tokens. */
  3: i64 tokens
}
