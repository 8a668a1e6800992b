"""HTTP header names of the platform."""

__all__ = [
    "ATTEMPT_ID",
    "DEADLINE_MS",
    "MISSING_PARTS",
    "NOT_EXECUTED",
    "PART_STAMPS",
    "RETRY_AFTER",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_STAMP",
    "STORE_ERA",
    "TARGET_INSTANCE",
]

# The client's identifier of one attempt, echoed by servers.
ATTEMPT_ID = "X-Attempt-Id"
# Milliseconds that the client waits, or a server may take; a duration, not a time of day.
DEADLINE_MS = "X-Deadline-Ms"
# Requests a second that a server takes from all VMs together, a decimal number.
SERVER_LIMIT = "Server-Limit"
# Seconds; with status 503 of a server, the time for which it wants no request from this VM.
RETRY_AFTER = "Retry-After"
# "1" in each reply of a server that is about to stop.
SERVER_LEAVING = "Server-Leaving"
# Whole number in each answer of the store; one higher each time that it returns from an older copy.
STORE_ERA = "Store-Era"
# A server's signature of its reply.
SERVER_STAMP = "X-Server-Stamp"
# Identifier of the server that must answer.
TARGET_INSTANCE = "X-Target-Instance"
# Set by a server that did not run the request.
NOT_EXECUTED = "X-Not-Executed"
# Signatures of the parts of an answer.
PART_STAMPS = "X-Part-Stamps"
# Number of shards that are missing from an answer.
MISSING_PARTS = "X-Missing-Parts"
