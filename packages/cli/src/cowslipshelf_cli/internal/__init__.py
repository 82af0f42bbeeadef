"""Hold what the program is made of."""
