"""Guards against measurements that no longer fit the code that they measure."""

import math

import pytest

from benchmarks.steering import MEASUREMENTS


@pytest.mark.parametrize("measurement", MEASUREMENTS, ids=[each[0] for each in MEASUREMENTS])
def test_each_measurement_of_steering_runs(measurement):
    *_, sizes, sample = measurement
    assert math.isfinite(sample(sizes[0]))
