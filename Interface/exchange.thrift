namespace cpp sesame.wire

/** Work that one node currently has in progress at one engine. */
struct EngineShare {
  1: i32 requests
  2: i64 tokens
}

/** How often a request was running when its engine crashed, and how often it succeeded. */
struct CrashShare {
  1: i64 crashes
  2: i64 successes
}

/** Load report of a node: a datagram with all that the receiving peer needs to know about it. */
struct NodeReport {
  1: string node
  /** Start time of the process in Unix milliseconds. The counters are zero at that time. */
  2: i64 incarnation
  3: i64 sequence
  /** Address for callers, as IP:PORT. */
  4: string entryAddress
  5: string zone
  /** Whether the node serves callers. */
  6: bool ready
  /** Whether the node is shutting down after it was told to stop. */
  7: bool leaving
  /** The node's estimate of the true time in Unix milliseconds. */
  8: i64 trueMillis
  /** Quota units that each account has used since the start of the process. */
  9: map<string, double> consumed
  /** Number of requests that started to run, by window and account. */
  10: map<i64, map<string, i64>> began
  /** Work in progress at each engine, by engine id. */
  11: map<string, EngineShare> engines
  /** Crashes and successes of requests, by fingerprint of the request. */
  12: map<i64, CrashShare> crashes
  /** Version of the configuration that the node uses, or 0 if it has none. */
  13: i64 configVersion
  /** Revision of the store that the node's list of engines reflects. */
  14: i64 engineRevision
  /** Number of requests that were refused for lack of capacity since the start, by service. */
  15: map<string, i64> refused
}
