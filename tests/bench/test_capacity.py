"""Checks of the capacity page: its arithmetic, its lines, and a short run of its measurements."""

import re
from pathlib import Path

from testtools import ExpectedException, TestCase
from testtools.matchers import Equals, GreaterThan

from bench import capacity
from bench._capacity_day import longest_mean_run_s, name_writes
from bench._capacity_derived import derive
from bench._capacity_model import (
    TARGET,
    Target,
    allocator_loads,
    fit_line,
    processes_needed,
    rest_share_of_day,
    store_calls_per_s,
    verdict,
    watched_peers,
)
from bench._capacity_roles import HEAD, ROLES

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"


def table_cells(text, first_cell):
    """Return the cells of every table line that begins with a cell."""
    lines = [line for line in text.splitlines() if line.startswith(f"| {first_cell} |")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


def made_up_figures():
    """Return figures with round numbers: 1,000 µs/s idle and 100 more for each watched peer."""

    def idle(processes, added=0):
        watched = processes - 1
        return {
            "processes": processes,
            "processor_us_per_s": 1000.0 + 100 * watched + added,
            "bytes_sent_per_s": 10.0 * watched,
            "bytes_received_per_s": 20.0 * watched,
            "resident_bytes": 50e6 + 1e5 * watched + added,
        }

    def starts(us, peer_bytes=0.0):
        return [{"cpu_us_per_task": us, "peer_bytes_sent_per_task": peer_bytes}]

    return {
        "imports": {"daemon": 48_000_000},
        "idle": [{"small": idle(n), "large": idle(n, added=500)} for n in (2, 7, 14)],
        "starts_many": {1: starts(700), 20: starts(225), 200: starts(202.5, peer_bytes=5.0)},
        "digest": {10: 110, 20: 210},
        "configuration": {(600, 75): {"stored_bytes": 9000}},
    }


class ArithmeticTest(TestCase):
    def test_processes_are_rounded_up(self):
        for starts_per_s, us, share, expected in (
            (46_000, 500, 1.0, 23),
            (46_000, 500, 0.7, 33),
            (1_000, 1_000, 1.0, 1),
            (1_001, 1_000, 1.0, 2),
        ):
            self.assertEqual(expected, processes_needed(starts_per_s, us, usable_share=share))

    def test_a_line_goes_through_exact_points(self):
        line = fit_line([(1, 12.0), (6, 22.0), (13, 36.0)])
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(10.0, line.at_zero)
        self.assertAlmostEqual(48.0, line.at(19))
        self.assertAlmostEqual(0.0, line.largest_residual)

    def test_a_line_tells_how_far_points_lie_from_it(self):
        line = fit_line([(0, 0.0), (1, 3.0), (2, 0.0)])
        self.assertAlmostEqual(0.0, line.slope)
        self.assertAlmostEqual(2.0, line.largest_residual)

    def test_one_x_gives_no_line(self):
        with ExpectedException(ValueError, ".*two different x"):
            fit_line([(3, 1.0), (3, 2.0)])

    def test_verdict_counts_the_bound_as_within(self):
        self.assertEqual(["yes", "yes", "no"], [verdict(x, 9) for x in (8, 9, 9.1)])

    def test_watched_peers_are_the_failure_domain_and_few_links(self):
        self.assertThat(watched_peers(14, 1), Equals((13.0, 13)))
        mean, most = watched_peers(50, 4)
        self.assertTrue(12 <= mean <= most <= 12 + 2 * 4)

    def test_every_endpoint_has_one_allocator_also_without_a_failure_domain(self):
        for lost in (0, 1, 2):
            loads = allocator_loads(TARGET, lost_domains=lost)
            self.assertEqual(TARGET.endpoints, sum(loads))
            self.assertEqual(sorted(loads, reverse=True), loads)

    def test_store_calls_follow_failure_domains_and_the_fallback_poll(self):
        calls = store_calls_per_s(50, 4)
        self.assertAlmostEqual(4 + 46 / 10, calls["hosts"])
        self.assertAlmostEqual(4 / 2.5, calls["ticket_watch"])

    def test_a_day(self):
        self.assertEqual(2 * 11 + 3 * 100, name_writes())
        self.assertAlmostEqual(0.25, rest_share_of_day(1, 43_200, 2))
        size = Target(endpoints=10, slots=2, starts_per_s=40)
        self.assertAlmostEqual(0.5, longest_mean_run_s(size))

    def test_figures_at_the_target_follow_from_the_slopes(self):
        derived = derive(made_up_figures())
        most = derived.watched[1]
        self.assertAlmostEqual(1000 + 100 * most + 500, derived.control_us_per_s)
        self.assertAlmostEqual(100, derived.control_us_per_peer)
        reads, digests = 9000 * 4 / 3 / 30, 4 * 10 * (50 - 1 - most)
        self.assertAlmostEqual(30 * most + reads + digests, derived.control_bytes_per_s)
        self.assertAlmostEqual(10 * most + digests / 2, derived.sent_bytes_per_s)
        self.assertAlmostEqual(2e6 + 1e5 * most + 500, derived.growth_bytes)
        self.assertAlmostEqual(500, derived.per_job_us)
        self.assertAlmostEqual(200, derived.per_task_us)
        self.assertEqual({1: 46, 20: 15, 200: 14}, derived.processes)
        self.assertEqual({1: 0, 20: 0, 200: 2 * 5 * 46_000 / 50}, derived.lease_bytes_per_s)


class PageTest(TestCase):
    def setUp(self):
        super().setUp()
        self.page = PAGE.read_text(encoding="utf-8")

    def test_each_role_has_one_whole_line(self):
        for role, carrier in ROLES.items():
            [cells] = table_cells(self.page, role)
            self.assertEqual(len(HEAD), len(cells))
            self.assertTrue(all(cells), role)
            self.assertEqual(carrier, cells[HEAD.index("carried by")])
            self.assertIsNotNone(re.search(r"\b(yes|no|not proved)\b", cells[-1]), role)

    def test_named_files_exist(self):
        root = PAGE.parents[1]
        for carrier in ROLES.values():
            for name in re.findall(r"[\w/]+(?:\.py|\.md|/)", carrier):
                folder = "docs" if name.endswith(".md") else "burdocklug"
                self.assertTrue((root / folder / name).exists(), name)

    def test_it_says_which_command_gave_its_figures(self):
        self.assertIn("python -m bench.capacity", self.page)


class RunTest(TestCase):
    def test_a_short_run_prints_a_line_for_each_role(self):
        figures = capacity.measure(capacity.QUICK)
        text = capacity.tables(figures)
        for role in ROLES:
            [cells] = table_cells(text, role)
            self.assertEqual(len(HEAD), len(cells))
        self.assertThat(figures["starts"][1][0]["jobs"], Equals(capacity.QUICK.cases[0].jobs))
        self.assertThat(figures["idle"][-1]["small"]["bytes_sent_per_s"], GreaterThan(0))
