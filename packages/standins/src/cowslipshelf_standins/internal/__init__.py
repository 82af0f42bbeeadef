"""Hold what the stand-ins are made of."""
