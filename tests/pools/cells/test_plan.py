from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from burdocklug.pools.cells import CellPlan, PlanChooser, cell_of, decode_plan, wanted_cells
from burdocklug.pools.cells._plan import GROW_AFTER_S, SHRINK_AFTER_S

NAMES = [f"{number:016x}" for number in range(0, 3_000_000, 997)]


class CellOfTest(TestCase):
    def test_cells_have_equal_shares_within_a_tenth(self):
        for cells in (2, 5, 16):
            sizes = Counter(cell_of(name, cells) for name in NAMES)
            mean = len(NAMES) / cells
            worst = max(abs(sizes[cell] - mean) for cell in range(cells))
            self.assertThat(worst / mean, LessThan(0.2 if cells == 16 else 0.1))

    def test_a_further_cell_takes_names_from_the_others_only(self):
        moves = {(cell_of(n, 4), cell_of(n, 5)) for n in NAMES if cell_of(n, 4) != cell_of(n, 5)}
        self.assertThat({after for _before, after in moves}, Equals({4}))


class WantedCellsTest(TestCase):
    def test_one_scheduler_serves_the_deployments_that_one_host_carries(self):
        for endpoints, cores in ((48, 1.07), (350, 2.15), (540, 2.15)):
            self.assertThat(wanted_cells(endpoints, [cores] * 7), Equals(1))

    def test_more_endpoints_than_a_host_carries_are_split(self):
        self.assertThat(wanted_cells(3000, [2.15] * 60 + [0.5] * 240), Equals(5))

    def test_there_are_no_more_cells_than_hosts(self):
        self.assertThat(wanted_cells(3000, [0.1, 0.1]), Equals(2))

    def test_overloaded_hosts_alone_do_not_split_a_pool(self):
        self.assertThat(wanted_cells(3000, [0.0, 0.0]), Equals(1))


class PlanChooserTest(TestCase):
    def setUp(self):
        super().setUp()
        self.chooser = PlanChooser()

    def test_growth_waits_until_it_was_wanted_for_some_time(self):
        self.assertThat(self.chooser.next_plan(CellPlan(), 3, 10.0), Is(None))
        self.assertThat(
            self.chooser.next_plan(CellPlan(), 3, 10.0 + GROW_AFTER_S), Equals(CellPlan(1, 3))
        )

    def test_a_need_that_changes_begins_anew(self):
        self.chooser.next_plan(CellPlan(), 3, 10.0)
        self.assertThat(self.chooser.next_plan(CellPlan(), 1, 10.5), Is(None))
        self.assertThat(self.chooser.next_plan(CellPlan(), 3, 10.0 + GROW_AFTER_S), Is(None))

    def test_a_pool_shrinks_late_and_only_to_half(self):
        plan = CellPlan(4, 6)
        for wanted in (4, 3):
            self.chooser.next_plan(plan, wanted, 0.0)
        self.assertThat(self.chooser.next_plan(plan, 3, SHRINK_AFTER_S / 2), Is(None))
        self.assertThat(self.chooser.next_plan(plan, 3, SHRINK_AFTER_S), Equals(CellPlan(5, 3)))
        self.assertThat(self.chooser.next_plan(plan, 4, 10 * SHRINK_AFTER_S), Is(None))


class DecodePlanTest(TestCase):
    def test_values_that_are_no_plan_are_malformed(self):
        for value in (b"", b"7", b'{"cells": 0}', b'{"cells": 65}', b'{"number": "x"}', b"\xff"):
            self.assertRaises(ValueError, decode_plan, value)
