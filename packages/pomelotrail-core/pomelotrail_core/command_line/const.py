"""Exit codes and constants of the command lines."""

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_PARTIAL: Final = 3

TLS_DIRECTORY_VARIABLE: Final = "POMELOTRAIL_TLS"

EXIT_CODES_HELP: Final = """\
exit codes:
  0  done
  1  failed: the input is wrong, or nothing could be reached
  2  wrong use of the command line, or wrong settings
  3  partial: some processes gave no answer; the rest is shown
"""
