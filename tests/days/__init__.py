"""Play days of our own on the operators' deployments, one for each pair of troubles."""
