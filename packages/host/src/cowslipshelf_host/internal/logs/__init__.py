"""Write structured logs."""
