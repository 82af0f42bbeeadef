"""Run the daemon as `python -m cowslipshelf_daemon`."""

import sys

from cowslipshelf_daemon.program import main

sys.exit(main())
