"""Hold what the package re-exports; import from `cowslipshelf_operators` instead."""
