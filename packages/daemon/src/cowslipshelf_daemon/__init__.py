"""Run the daemons of the fleet: entry, sidecar and gateway."""
