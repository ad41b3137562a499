"""Guards against a daemon that collects no garbage after its start."""

import gc

import pytest

from redwingswitch._internal.utils.garbage_collection import permanent_allocations


def test_garbage_is_collected_again_after_a_failed_import() -> None:
    with pytest.raises(ImportError), permanent_allocations():
        assert not gc.isenabled()
        raise ImportError
    assert gc.isenabled()


def test_what_exists_at_the_end_of_the_block_is_exempt() -> None:
    gc.unfreeze()
    try:
        with permanent_allocations():
            pass
        assert gc.isenabled()
        assert gc.get_freeze_count() > 0
    finally:
        gc.unfreeze()
