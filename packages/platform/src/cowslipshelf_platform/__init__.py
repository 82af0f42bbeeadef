"""Meet the platform: settings, logs, metrics, disk, clock and signals."""
