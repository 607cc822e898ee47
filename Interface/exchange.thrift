namespace cpp sesame.wire

/** What one node has at one engine now. */
struct EngineShare {
  1: i32 requests
  2: i64 tokens
}

/** How often a request was running when its engine went down, and how often it succeeded. */
struct CrashShare {
  1: i64 crashes
  2: i64 successes
}

/** A datagram in which a node tells a peer all that the peer needs of it. */
struct NodeReport {
  1: string node
  /** Unix milliseconds of the process's start; counters start at zero with it. */
  2: i64 incarnation
  3: i64 sequence
  /** IP:PORT where callers connect. */
  4: string entryAddress
  5: string zone
  /** The node serves callers. */
  6: bool ready
  /** The node has been told to stop. */
  7: bool leaving
  /** The node's own estimate of true time, Unix milliseconds. */
  8: i64 trueMillis
  /** Quota units spent since the start, by account. */
  9: map<string, double> consumed
  /** Requests that began to run, by window and account. */
  10: map<i64, map<string, i64>> began
  /** By engine id. */
  11: map<string, EngineShare> engines
  /** By fingerprint of the request. */
  12: map<i64, CrashShare> crashes
  /** Version of the configuration in force, 0 if there is none. */
  13: i64 configVersion
  /** Revision of the store up to which the node's list of engines is current. */
  14: i64 engineRevision
  /** Requests refused for lack of room since the start, by service. */
  15: map<string, i64> refused
}
