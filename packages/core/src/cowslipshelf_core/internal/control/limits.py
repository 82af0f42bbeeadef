"""Define the limits of everything that the replicated control state stores."""

MAX_CHANGE_IDS = 8_192
"""Change ids whose first answer is stored: half a day at 16,000 changes a day."""
MAX_CHANGE_BYTES = 16 * 1024 * 1024
MAX_PENDING_PLANS = 256
MAX_PENDING_PLAN_BYTES = 16 * 1024 * 1024

MAX_AUDIT_RECORDS = 10_000
MAX_AUDIT_DETAIL_CHARACTERS = 300
"""Characters of free text in one audit record."""

MAX_CLAIMS = 65_536
MAX_CLAIMS_PER_CUSTOMER = MAX_CLAIMS // 2
"""Prevents one customer from filling the table for all others."""
CLAIM_GRACE_SECONDS = 30.0
"""Time after the deadline during which an open claim is assumed to be running."""
CLAIM_RETENTION_SECONDS = 3_600.0
"""Time after the deadline until a key is removed; a later resend runs again."""
MAX_CLAIM_DEADLINE_SECONDS = 3_600.0
MAX_CLAIM_KEY_BYTES = 255
MAX_RETIRED_ATTEMPTS = 16
"""Earlier attempts of a claim that are remembered after it was moved."""
MAX_CLAIM_RECORD_BYTES = 2_048
MAX_STORED_ANSWER_BYTES = 64 * 1024
"""Of a larger answer, only the status is stored."""
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024
"""Above this size the oldest answers are evicted; their keys stay claimed."""

MAX_ORDER_SLOTS = 16_384
MAX_REMEMBERED_ORDERS = 8
"""Ended orders of one upstream whose resends are still recognised."""
MAX_WAITING_ORDERS = 16

MAX_GRANT_SECONDS = 3_600.0

MAX_EVACUATED_DATA_CENTRES = 64
"""Every alive message of a gateway lists the evacuated data centres."""

MAX_NAME_CHARACTERS = 128
