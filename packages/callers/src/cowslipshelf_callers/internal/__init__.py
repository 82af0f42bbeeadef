"""Contain the implementation; import from `cowslipshelf_callers` instead."""
