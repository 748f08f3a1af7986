"""Statuses of HTTP that an answer may have."""

# Interim answers, without the one that changes the protocol.
INTERIM_STATUSES = frozenset((100, *range(102, 200)))

FINAL_STATUSES = range(200, 600)
