"""Texts of the command line."""

from ..exit_codes import EXIT_CODE_MEANINGS

__all__ = ["APP_EPILOG", "CHECK_EPILOG", "COMMANDS_GROUP", "NODE_EPILOG"]

# Entry points of this group add commands to the command line.
COMMANDS_GROUP = "mimosaloom.commands"

# `\b` keeps the lines of a paragraph as they are.
_EXIT_CODE_LINES = "\n".join(
    f"  {code:d}  {meaning}" for code, meaning in EXIT_CODE_MEANINGS.items()
)

APP_EPILOG = f"""\b
Example:
  mimosaloom check examples/water

\b
Exit codes:
{_EXIT_CODE_LINES}
"""

CHECK_EPILOG = """\b
Examples:
  mimosaloom check examples/water
  mimosaloom check node.json services.json classes.json

\b
Exit codes:
  0  All files are valid.
  3  A file has faults; each is one line `FILE: JSON path: what was expected`.
"""

NODE_EPILOG = """\b
Example:
  mimosaloom node --settings examples/water/node-billing-1.json

\b
Exit codes:
  0  The node has drained and stopped.
  1  The node could not start, for the reason on stderr.
  3  The settings or the resources they name have faults.
"""
