namespace cpp sesame.wire

/** A claimed call in a shard of the ledger. All times are milliseconds since the Unix epoch. */
struct ClaimRecord {
  /** Hash of the account and the idempotency key. */
  1: binary key
  /** Hash of the call, by which the reuse of a key for another call is detected. */
  2: binary fingerprint
  /** Id of the only attempt that may send the call. */
  3: binary attempt
  4: string node
  5: i64 claimedAtMillis
  /** The attempt must not send the call after this time. */
  6: i64 sendBeforeMillis
  /** If no outcome is recorded by this time, the outcome counts as unknown. */
  7: i64 expectedByMillis
  /** See ClaimState in Core/claimshard.h. */
  8: i32 state
  9: i32 code
  10: i32 httpStatus
  11: string contentType
  12: binary answer
  /** The answer is not stored because it was too long. */
  13: bool answerOmitted
  /** The outcome comes from a status lookup, so there is no answer. */
  14: bool fromStatusLookup
}

/** The value of a ledger object, which is one shard. */
struct ClaimRecords {
  1: i32 format
  2: list<ClaimRecord> records
}
