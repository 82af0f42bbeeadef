"""Run the role in the slot of one upstream."""
