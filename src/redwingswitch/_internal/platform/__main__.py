"""Start the steering daemon as the platform does: the settings file is named by a variable.

The command line of ``redwingswitch-steer`` is left out here, since each restart waits for imports.
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
