"""Run scripted days on the operators' deployments, one for each pair of faults."""
