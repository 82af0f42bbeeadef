"""Simulate loads on emulated engines, to measure the placement of prompts."""
