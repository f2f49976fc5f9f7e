"""Tests of ``aspencroft.emulator.shape``."""

import json

import aspencroft.emulator.shape as shape_module
from aspencroft.configuration import resources


def test_both_shapes_hold_a_sound_plan_of_five_kinds():
    for name in (shape_module.ARCHIVE, shape_module.TILLS):
        shape = shape_module.shape_of(name)
        assert resources.check(json.loads(json.dumps(shape.document))) == ()
        assert len(shape.kinds) == 5 and {one.lane for one in shape.kinds} == set(shape.document["lanes"])
