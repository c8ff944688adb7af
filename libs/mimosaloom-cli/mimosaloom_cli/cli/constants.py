"""Help texts of the commands: examples and exit codes."""

from ..exit_codes import EXIT_CODE_MEANINGS

__all__ = [
    "ACCOUNT_EPILOG",
    "APPLY_EPILOG",
    "APP_EPILOG",
    "CHECK_EPILOG",
    "COMMANDS_GROUP",
    "DELETE_EPILOG",
    "DIFF_EPILOG",
    "EXPLAIN_EPILOG",
    "GET_EPILOG",
    "NODE_EPILOG",
]

# Group of the entry points with which other packages add commands.
COMMANDS_GROUP = "mimosaloom.commands"

# `\b` before a paragraph keeps its line breaks in the help output.
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

_CHANGE_EXIT_CODES = """Exit codes:
  0  All changes were accepted, or no change was needed.
  3  A file has faults, or the change would break a resource in force.
  4  Another change was accepted first.
  5  An answer was lost, so the outcome is unknown; repeat the command.
  6  The log service did not answer, or refused a change; stderr names those not made.
"""

DIFF_EPILOG = """\b
Example:
  mimosaloom diff -f examples/water --log-url http://127.0.0.1:9000

\b
Exit codes:
  0  The differences are on stdout.
  3  A file has faults, or the change would break a resource in force.
  6  The log service can't be reached.
"""

APPLY_EPILOG = f"""\b
Example:
  mimosaloom apply -f examples/water --log-url http://127.0.0.1:9000

\b
{_CHANGE_EXIT_CODES}"""

GET_EPILOG = """\b
Examples:
  mimosaloom get Service --log-url http://127.0.0.1:9000
  mimosaloom get RequestClass issue-fee -o json --log-url http://127.0.0.1:9000

\b
Exit codes:
  0  The resources are on stdout.
  1  There is no resource of that name.
  6  The log service can't be reached.
"""

EXPLAIN_EPILOG = """\b
Examples:
  mimosaloom explain 9c41d07be2a35f68 node-1.log node-2.log
  cat *.log | mimosaloom explain 9c41d07be2a35f68

\b
Exit codes:
  0  The timeline of the request is on stdout, with the cause if the logs name one.
  1  No log line names the request, or a file can't be read.
"""

ACCOUNT_EPILOG = """\b
Examples:
  mimosaloom account node-1.log node-2.log
  mimosaloom account --by second,class --from-s 60 --to-s 90 --plot account.png *.log
  cat *.log | mimosaloom account --by organisation --json

\b
Exit codes:
  0  The account is on stdout, and the plot in its file.
  1  No line has counts, a file can't be read, or the plot can't be written.
  2  An option is not valid.
"""

DELETE_EPILOG = f"""\b
Example:
  mimosaloom delete Upstream billing-3 --log-url http://127.0.0.1:9000

\b
{_CHANGE_EXIT_CODES}"""
