"""Guards against failed checks in the demo of the steering hosts."""

import random

import pytest

from redwingswitch._internal.platform.standins.demo import SteeringDemo
from tests.lib.loops import run


@pytest.mark.parametrize("seed", [1, 2])
def test_the_steering_demo_holds(seed: int) -> None:
    checks = run(SteeringDemo(random_source=random.Random(seed)).run())
    assert [check.text for check in checks if check.passed is False] == []
    assert sum(check.passed is True for check in checks) == 5
