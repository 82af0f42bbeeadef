"""Bound everything that the replicated control state keeps."""

MOST_CHANGE_IDS = 8_192
"""Change ids whose first answer is kept: half a day at 16,000 changes a day."""
MOST_CHANGE_BYTES = 16 * 1024 * 1024
MOST_PENDING_PLANS = 256
MOST_PENDING_PLAN_BYTES = 16 * 1024 * 1024

MOST_AUDIT_RECORDS = 10_000
MOST_AUDIT_DETAIL = 300
"""Characters of free text in one audit record."""

MOST_CLAIMS = 65_536
MOST_CLAIMS_PER_CUSTOMER = MOST_CLAIMS // 2
"""One customer cannot fill the table for all the others."""
CLAIM_GRACE_SECONDS = 30.0
"""Time past its deadline in which an open claim is still believed to run."""
CLAIM_RETENTION_SECONDS = 3_600.0
"""Time past its deadline after which a key is forgotten and would run again."""
MOST_CLAIM_DEADLINE_SECONDS = 3_600.0
MOST_CLAIM_KEY_BYTES = 255
MOST_RETIRED_ATTEMPTS = 16
"""Attempts of one claim that are remembered after it was moved away from them."""
MOST_CLAIM_RECORD_BYTES = 2_048
MOST_STORED_ANSWER_BYTES = 64 * 1024
"""A larger answer is remembered by its status alone."""
MOST_STORED_ANSWERS_BYTES = 16 * 1024 * 1024
"""Above it the oldest bodies are dropped; their keys stay claimed."""

MOST_ORDER_SLOTS = 16_384
MOST_REMEMBERED_ORDERS = 8
"""Ended orders of one upstream whose resends are recognised."""
MOST_WAITING_ORDERS = 16

MOST_GRANT_SECONDS = 3_600.0

MOST_NAME_CHARACTERS = 128
