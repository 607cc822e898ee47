namespace cpp sesame.wire

/** Work that one node, or several nodes together, have in progress at one engine. */
struct EngineShare {
  1: i32 requests
  2: i64 tokens
  /** Prompt tokens of the requests that have no first event yet. */
  3: optional i64 unreadTokens
  /** Weight of the observations behind weightedLogDelay. */
  4: optional double delayWeight
  /** Sum of weight times logarithm of the observed delay relative to the predicted one. */
  5: optional double weightedLogDelay
}

/** What one node, or several nodes together, have seen of one version of a service on one route. */
struct VersionEvidence {
  1: string serviceName
  /** Revision of the store at which the order of the roll-out was written. */
  2: i64 order
  3: string version
  4: string route
  /** Requests sent to engines of the version. */
  5: i64 sent
  6: i64 answers
  7: i64 failures
  /** Sum and sum of squares of the logarithm of the time to the first event in milliseconds. */
  8: double logTimeSum
  9: double logTimeSquareSum
}

/** Step of a roll-out that a node knows. The highest number of an order is in force. */
struct RolloutStep {
  1: string serviceName
  /** Revision of the store at which the order was written. */
  2: i64 order
  3: i64 number
  /** State of the roll-out, as RolloutState. */
  4: i32 state
  /** Share of the service's requests that may go to the target, in thousandths. */
  5: i32 share
  /** Version to which the service's requests move. */
  6: string target
}

/** How often a request was running when its engine crashed, and how often it succeeded. */
struct CrashShare {
  1: i64 crashes
  2: i64 successes
}

/** A request whose engine crashed before or while it began to answer. Times are true Unix milliseconds. */
struct PromptCrash {
  /** Fingerprint of the request. */
  1: i64 request
  /** Hash of the engine's id and incarnation. */
  2: i64 engine
  3: i64 sentMillis
  4: i64 crashMillis
  /** Ids of the parts of its prompt that other requests may contain. */
  5: list<i64> parts
}

/** Requests whose prompts contain all these parts are not sent to engines. */
struct RefusedParts {
  1: list<i64> parts
  2: i64 decidedMillis
}

/** What nodes know of parts of prompts that may crash engines. */
struct PromptEvidence {
  1: list<PromptCrash> crashes
  /** Time of the latest answer to a prompt with the part, for parts of crashes and refusals. */
  2: map<i64, i64> answeredMillis
  3: list<RefusedParts> refused
}

/** Counters and load of one node, or their sum over the nodes of a zone. */
struct Tally {
  /** Quota units that each account has used since the counters started at zero. */
  1: map<string, double> consumed
  /** Number of requests that started to run, by usage window and account. */
  2: map<i64, map<string, i64>> began
  /** Work in progress at each engine, by engine id. */
  3: map<string, EngineShare> engines
  /** Crashes and successes of requests, by fingerprint of the request. */
  4: map<i64, CrashShare> crashes
  /** Number of requests that were refused for lack of capacity, by service. */
  5: map<string, i64> refused
  /** Part of consumed that was reported after a silence, in which units were withheld for it. */
  6: map<string, double> late
  7: PromptEvidence prompts
  /** Counters of roll-outs in progress, since the counters started at zero. */
  8: optional list<VersionEvidence> versions
  9: optional list<RolloutStep> rolloutSteps
  /** Prompt tokens of the requests that callers sent, by service. */
  10: optional map<string, i64> promptTokens
}

/** A node as the other nodes know it. */
struct Member {
  1: string node
  /** Address for callers, as IP:PORT. */
  2: string entryAddress
  /** Whether the node serves callers. */
  3: bool ready
  /** Whether the node is shutting down after it was told to stop. */
  4: bool leaving
  /** Processor share of the node's machine, in thousandths of a core. */
  5: i32 capacity
}

/** Which state of one kind of stored objects a node has. */
struct StateVersion {
  /** Highest revision of the store at which an object of the kind changed. */
  1: i64 revision
  /** Time since the state was known to be the current one, or -1 if the node has none. */
  2: i64 ageMillis
}

/** The sender of a datagram. */
struct Sender {
  1: Member member
  2: string zone
  /** Start time of the process in Unix milliseconds. The counters are zero at that time. */
  3: i64 incarnation
  4: i64 sequence
  /** The node's estimate of the true time in Unix milliseconds. */
  5: i64 trueMillis
  6: StateVersion configuration
  7: StateVersion engines
  /** Orders of roll-outs; absent if the deployment has none. */
  8: optional StateVersion rollouts
}

/** Report of a node to the aggregators of its zone. */
struct MemberReport {
  1: Tally tally
  /** Whether the receiver is to answer with digests. */
  2: bool wantsDigest
  /** Nodes of the zone from which the sender, as an aggregator, receives no reports. */
  3: list<string> unheard
}

/** Sum over a zone that an aggregator sends to the aggregators of the other zones. */
struct ZoneReport {
  1: Tally tally
  /** Nodes of the zone that hold a share of the quotas. */
  2: i32 nodes
  /** Those of them from which the aggregator receives no reports. */
  3: i32 silent
  /** Nodes of the zone from which the aggregator receives reports; not in each report. */
  4: optional list<Member> members
}

/** Nodes of one zone. */
struct ZoneMembers {
  1: string zone
  2: list<Member> members
}

/** Sums over the deployment that an aggregator sends to a node of its zone. */
struct Digest {
  /** Sequence number of the receiver's latest report that the sums include. */
  1: i64 acknowledged
  /** Quota units that each account has used at all nodes, since the aggregator's start. */
  2: map<string, double> consumed
  3: map<string, EngineShare> engines
  4: map<i64, CrashShare> crashes
  /** Nodes that hold a share of the quotas. */
  5: i32 nodes
  /** Those of them whose consumption is not known. */
  6: i32 silent
  /** Whether all aggregators of the zone receive the reports of the receiver. */
  7: bool counted
  /** All nodes, by zone; not in each digest. */
  8: optional list<ZoneMembers> zones
  /** Part of consumed that was reported after a silence. */
  9: map<string, double> late
  10: PromptEvidence prompts
  /** Sums of all nodes, with the receiver's own part. */
  11: optional list<VersionEvidence> versions
  12: optional list<RolloutStep> rolloutSteps
}

/** Asks a node at which versions streams began there. */
struct StreamQuestion {
  /** Names of attempts, as in the stored records of streams, by service. */
  1: map<string, set<string>> attempts
}

/** Reply to a StreamQuestion. */
struct StreamReply {
  /** Versions of the streams that the node's process began or continued, by service and attempt. */
  1: map<string, map<string, string>> versions
  /** Attempts of the question that the process does not know, by service. */
  2: map<string, set<string>> unknown
  /** Versions at which earlier processes of the node may have begun other streams, by service;
      absent if the node does not know them. */
  3: optional map<string, set<string>> earlierVersions
}

/** Datagram between two nodes. */
struct Datagram {
  /** Version of this format. A receiver ignores other versions. */
  1: i32 version
  2: Sender sender
  3: optional MemberReport member
  4: optional ZoneReport zone
  5: optional Digest digest
  6: optional StreamQuestion streamQuestion
  7: optional StreamReply streamReply
}

/** A stored object, or the note that it was removed. */
struct ReplicatedObject {
  1: string name
  2: i64 revision
  3: bool removed
  /** Content as JSON; empty if the object was removed. */
  4: string content
}

/** State of one kind of stored objects, or the changes to it since a revision. */
struct ReplicaUpdate {
  1: StateVersion version
  /** Whether the objects are the complete state. */
  2: bool complete
  3: list<ReplicatedObject> objects
}
