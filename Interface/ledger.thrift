namespace cpp sesame.wire

/** One claimed call in a shard of the ledger. Times are milliseconds since the Unix epoch. */
struct ClaimRecord {
  /** Hash of account and idempotency key. */
  1: binary key
  /** Hash of the call, to recognise a reused key. */
  2: binary fingerprint
  /** Identifies the attempt that may send the call. */
  3: binary attempt
  4: string node
  5: i64 claimedAtMillis
  /** The attempt sends nothing after this time. */
  6: i64 sendBeforeMillis
  /** An outcome that is not recorded by this time is unknown. */
  7: i64 expectedByMillis
  /** See ClaimState in Core/claimshard.h. */
  8: i32 state
  9: i32 code
  10: i32 httpStatus
  11: string contentType
  12: binary answer
  /** The answer was too long to be kept. */
  13: bool answerOmitted
  /** The outcome is known from a status lookup, without an answer. */
  14: bool fromStatusLookup
}

/** The value of one ledger object. */
struct ClaimRecords {
  1: i32 format
  2: list<ClaimRecord> records
}
