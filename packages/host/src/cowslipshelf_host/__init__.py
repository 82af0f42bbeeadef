"""Meet the host: settings, logs, metrics, disk, clock and signals."""
