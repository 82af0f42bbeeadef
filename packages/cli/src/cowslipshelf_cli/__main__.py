"""Run the program as `python -m cowslipshelf_cli`."""

from cowslipshelf_cli.program import main

if __name__ == "__main__":
    main()
