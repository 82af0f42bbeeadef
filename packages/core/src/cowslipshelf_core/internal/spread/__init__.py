"""Reserve and prefill one prompt across several engines."""
