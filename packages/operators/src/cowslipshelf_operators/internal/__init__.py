"""Contain the implementation; import from `cowslipshelf_operators` instead."""
