"""Bound everything that the replicated control state keeps."""

MAX_CHANGE_IDS = 8_192
"""Change ids whose first answer is kept: half a day at 16,000 changes a day."""
MAX_CHANGE_BYTES = 16 * 1024 * 1024
MAX_PENDING_PLANS = 256
MAX_PENDING_PLAN_BYTES = 16 * 1024 * 1024

MAX_AUDIT_RECORDS = 10_000
MAX_AUDIT_DETAIL_CHARACTERS = 300
"""Characters of free text in one audit record."""

MAX_CLAIMS = 65_536
MAX_CLAIMS_PER_CUSTOMER = MAX_CLAIMS // 2
"""One customer cannot fill the table for all the others."""
CLAIM_GRACE_SECONDS = 30.0
"""Time past its deadline in which an open claim is still believed to run."""
CLAIM_RETENTION_SECONDS = 3_600.0
"""Time past its deadline after which a key is forgotten and would run again."""
MAX_CLAIM_DEADLINE_SECONDS = 3_600.0
MAX_CLAIM_KEY_BYTES = 255
MAX_RETIRED_ATTEMPTS = 16
"""Attempts of one claim that are remembered after it was moved away from them."""
MAX_CLAIM_RECORD_BYTES = 2_048
MAX_STORED_ANSWER_BYTES = 64 * 1024
"""A larger answer is remembered by its status alone."""
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024
"""Above it the oldest bodies are dropped; their keys stay claimed."""

MAX_ORDER_SLOTS = 16_384
MAX_REMEMBERED_ORDERS = 8
"""Ended orders of one upstream whose resends are recognised."""
MAX_WAITING_ORDERS = 16

MAX_GRANT_SECONDS = 3_600.0

MAX_NAME_CHARACTERS = 128
