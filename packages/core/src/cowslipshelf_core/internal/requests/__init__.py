"""Process a caller's request: placement, hand-over, retries and the final answer."""
