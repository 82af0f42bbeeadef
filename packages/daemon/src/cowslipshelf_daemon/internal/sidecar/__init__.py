"""Run the sidecar role, which serves one upstream."""
