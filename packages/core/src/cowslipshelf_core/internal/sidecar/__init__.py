"""Admit, start, cancel and account for the attempts of one upstream."""
