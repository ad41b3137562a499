"""``redwingswitch-steer check``: check the settings of a steering daemon."""

from __future__ import annotations

from pathlib import Path

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.steering_settings import read_steering_settings


def run(*, settings_file: str) -> int:
    """Print a summary of valid settings; raise InvalidInputGroup with all findings otherwise."""
    settings = read_steering_settings(Path(settings_file))
    print(
        f"{settings_file} is valid: host {settings.host} in {settings.failure_domain} steers at "
        f"{settings.steering.address}:{settings.steering.port}"
    )
    return status_codes.SUCCESS
