from functools import cache

import pytest

from tests.matrix.context import matrix_group
from tests.matrix.table import SUBSET, all_scenarios

SCENARIOS = [one for one in all_scenarios() if one.name in SUBSET]
CELLS = [(one, cell) for one in SCENARIOS for cell in one.cells]


@pytest.fixture(scope="module")
def results():
    """Function that runs a scenario once and returns failures by cell."""
    with matrix_group() as group:

        @cache
        def run(scenario):
            index = SCENARIOS.index(scenario)
            return {one.cell: one.failures for one in scenario.run(group, index)}

        yield run


@pytest.mark.matrix
@pytest.mark.parametrize(("scenario", "cell"), CELLS, ids=[cell for _, cell in CELLS])
def test_cell(results, scenario, cell):
    assert not results(scenario)[cell]


def test_every_cell_is_in_the_table_once():
    cells = [cell for scenario in all_scenarios() for cell in scenario.cells]
    assert len(cells) == len(set(cells))
    assert {one.name for one in SCENARIOS} == set(SUBSET)
