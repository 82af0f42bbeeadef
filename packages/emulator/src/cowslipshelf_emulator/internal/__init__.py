"""Hold what is not meant for other packages."""
