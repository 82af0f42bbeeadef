"""Decide how one prompt is handed to several sidecars."""
