"""Run the role beside the callers and operators."""
