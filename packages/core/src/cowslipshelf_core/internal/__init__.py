"""Hold what the public modules re-export; import from those instead."""
