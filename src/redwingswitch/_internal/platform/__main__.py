"""Start the steering daemon with the settings file that an environment variable names.

The platform starts the daemon through this module. It bypasses the command line of
``redwingswitch-steer``, whose imports would delay every restart.
"""

from __future__ import annotations

import os
import sys

from redwingswitch._internal.commands import steer

SETTINGS_VARIABLE = "REDWINGSWITCH_SETTINGS"
DEFAULT_SETTINGS_FILE = "/etc/redwingswitch/settings.yaml"


def main() -> int:
    """Run the daemon; return the exit status."""
    return steer.run(settings_file=os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE))


if __name__ == "__main__":
    sys.exit(main())
