"""Hold the modules behind the public ones."""
