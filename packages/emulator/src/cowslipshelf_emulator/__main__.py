"""Run the program as `python -m cowslipshelf_emulator`."""

from cowslipshelf_emulator.program import main

if __name__ == "__main__":
    main()
