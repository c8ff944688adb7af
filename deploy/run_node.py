"""Runs a node from the sources of this checkout, as `deploy/system.toml` starts it.

The packages are found in the source folders, before any copies of them on Python's
path: a folder of libraries that was carried over from an earlier build may hold some.
"""

import os
import sys


def list_source_folders(root: str) -> list[str]:
    """Return the folders that hold the packages of a checkout.

    Args:
        root: Folder of the checkout.
    """
    libs = os.path.join(root, "libs")
    folders = [os.path.join(libs, name) for name in sorted(os.listdir(libs))]
    return [*folders, os.path.join(root, "platform")]


if __name__ == "__main__":
    root_folder = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    sys.path[:0] = list_source_folders(root_folder)
    from mimosaloom_platform.__main__ import main

    sys.exit(main())
