"""Play loads on emulated engines, to measure how prompts are placed."""
