// Wire format of the messages between bergamotgate processes.
namespace py bergamotgate.wire.generated

enum MemberState { ALIVE = 1, SUSPECT = 2, DEAD = 3, LEFT = 4, GONE = 5 }

struct MemberRecord {
  1: required string vm
  2: required string zone
  3: required string peer
  4: required string http
  5: required i64 boot
  6: required i32 incarnation
  7: required MemberState state
  8: optional i32 capacity
}

// ``era`` is the era that the service states; absent if it states none, and in messages of older builds.
struct RevisionMark { 1: required i64 revision, 2: required string digest, 3: optional i64 era }

struct Strike {
  1: required string fingerprint
  2: required string run
  3: required bool suspected
  4: required i32 age_ms
}

struct Ping { 1: required i64 sequence, 2: required string target, 3: optional string relay_to }
struct Ack { 1: required i64 sequence, 2: required string target, 3: required i64 boot }

struct LeaseAsk { 1: required i64 sequence, 2: required string vm_list_digest, 3: required list<string> warm }
struct LeaseGrant { 1: required i64 sequence, 2: required string vm_list_digest }

// An item of the store; ``value`` is absent if the item was withdrawn.
// Revisions belong to a history of the store: the era that the store states, and how often its revisions
// went back within that era. Both are absent in messages of older builds. An item states its history
// only where it differs from that of the message.
struct PublishedItem {
  1: required string key
  2: required i64 revision
  3: optional binary value
  4: optional i64 era
  5: optional i32 resets
}

// Changes between two revisions of the store. ``since`` is -1 if the changes did not fit; the message
// then announces only the revision.
struct PublishedNews {
  1: required i64 since
  2: required i64 as_of
  3: required i32 age_ms
  4: required list<PublishedItem> items
  5: optional i64 era
  6: optional i32 resets
}

struct PublishedAsk {
  1: required i64 call
  2: required i64 have
  3: optional i64 era
  4: optional i32 resets
}
// ``superseded`` lists recent states of items that newer ones replaced; their values are digests.
struct PublishedReply {
  1: required i64 call
  2: required i64 as_of
  3: required i32 age_ms
  4: required bool whole
  5: required list<PublishedItem> items
  6: optional i64 era
  7: optional i32 resets
  8: optional list<PublishedItem> superseded
}

// ``limits_ended`` names backend servers that state no request rate any more.
struct Datagram {
  1: required i16 version
  2: required string sender
  3: required i64 boot
  4: optional Ping ping
  5: optional Ack ack
  6: optional LeaseAsk lease_ask
  7: optional LeaseGrant lease_grant
  8: optional list<MemberRecord> members
  9: optional RevisionMark tables
  10: optional RevisionMark vm_list
  11: optional list<Strike> strikes
  12: optional bool reply_wanted
  13: optional PublishedNews news
  14: optional list<string> limits_ended
}

enum Outcome {
  ANSWERED = 1
  NOT_RUN = 2
  UNKNOWN = 3
}

enum Reason {
  NONE = 0
  EXPIRED_IN_QUEUE = 1
  QUEUE_FULL = 2
  NOT_OWNER = 3
  OWNER_NOT_READY = 4
  NO_FREE_SLOT = 5
  SERVER_SHED = 6
  SERVER_DRAINING = 7
  SNAPSHOT_MISSING = 8
  CONNECT_FAILED = 9
  SERVER_OUT = 10
  VIEW_UNCONFIRMED = 11
  CANCELLED_IN_QUEUE = 12
  UNKNOWN_SERVER = 13
  TIMED_OUT = 20
  CONNECTION_DIED = 21
  WRONG_REPLY = 22
  SNAPSHOT_MISMATCH = 23
  CANCELLED_RUNNING = 24
  LINK_LOST = 25
  SERVER_ERROR = 26
}

struct SubRequest {
  1: required i64 attempt
  2: required string server
  3: required i32 shard
  4: required bool only_if_free
}

struct Batch {
  1: required string pool
  2: required string snapshot
  3: required i32 budget_ms
  4: required i32 patience_ms
  5: required bool repeatable
  6: required binary body
  7: required list<SubRequest> items
  8: optional string key
  9: required i32 age_ms
}

struct SubReply {
  1: required i64 attempt
  2: required Outcome outcome
  3: required Reason reason
  4: required i32 wait_ms
  5: required i32 service_ms
  6: optional binary body
  7: optional i32 depth
}

struct Cancel { 1: required list<i64> attempts }

struct TablesAsk { 1: required i64 call, 2: required i64 have_revision, 3: required string have_digest }
struct EntryChange { 1: required string path, 2: optional string value }
struct TablesReply {
  1: required i64 call
  2: required i64 revision
  3: required string digest
  4: optional binary whole
  5: optional list<EntryChange> changes
  6: optional i64 era
}

struct VmListAsk { 1: required i64 call }
struct VmListReply {
  1: required i64 call
  2: required i64 revision
  3: required binary whole
  4: optional i64 era
}

struct KeeperCall {
  1: required i64 call
  2: required string route_path
  3: required string key
  4: required binary body
  5: required i32 budget_ms
  6: required i64 boot
}
struct KeeperReply { 1: required i64 call, 2: required i16 status, 3: required binary answer }

struct Hello {
  1: required string vm
  2: required i64 boot
  3: required i64 to_boot
}

struct HeaderField { 1: required string name, 2: required string value }

// Fields common to all sub-requests of a query, which a gateway sends to a delegate: a VM near the
// backend servers.
struct DelegatedQuery {
  1: required string attempt
  2: required string method
  3: required string host
  4: required string target
  5: required list<HeaderField> headers
  6: required binary body
}

// Sub-requests of one query. ``head`` is set in the first message about the query on a stream. The
// gateway has no use for records that are not greater than ``floor``.
struct DelegatedAsk {
  1: required i64 query
  2: optional DelegatedQuery head
  3: required i32 budget_ms
  4: required i32 top_records
  5: optional binary floor
  6: required list<DelegatedPart> parts
}
struct DelegatedPart { 1: required i64 number, 2: required string server }

enum DelegatedEnd {
  REPLIED = 1
  NOT_SENT = 2
  DIED = 3
  GARBLED = 4
  TIMED_OUT = 5
  WRONG_REPLY = 6
}

// ``status`` and the fields after it, up to ``rate_limit``, are set only if the server replied.
// ``rate_limit`` is the number of requests per second that the server states for all VMs together;
// absent if it states none. ``retry_ms`` is set if nothing was sent because the delegate's part of
// that rate is used up: the part allows the next request after that time.
struct DelegatedReply {
  1: required i64 number
  2: required DelegatedEnd end
  3: optional i16 status
  4: optional bool not_run
  5: optional bool misdirected
  6: optional string digest
  7: optional binary records
  8: optional double rate_limit
  9: optional i32 retry_ms
}

struct Frame {
  1: required i16 version
  2: optional Batch batch
  3: optional list<SubReply> replies
  4: optional Cancel cancel
  5: optional TablesAsk tables_ask
  6: optional TablesReply tables_reply
  7: optional VmListAsk vm_list_ask
  8: optional VmListReply vm_list_reply
  9: optional KeeperCall keeper_call
  10: optional KeeperReply keeper_reply
  11: optional i64 echo
  12: optional i64 echo_reply
  13: optional Hello hello
  14: optional PublishedAsk published_ask
  15: optional PublishedReply published_reply
  16: optional list<DelegatedAsk> delegated_asks
  17: optional list<DelegatedReply> delegated_replies
  18: optional list<i64> delegated_cancels
}
