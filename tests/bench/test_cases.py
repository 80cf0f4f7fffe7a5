import contextlib
import io
import json
from unittest import mock

import testtools

import bench.__main__
from bench._cases import at_least, at_most
from bench._cases_routing import run_way
from bench._workload import AMHARA, MUEHLVIERTEL
from burdocklug.kernel import Registry


def run(pattern):
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = bench.__main__.main(["--cases", pattern])
    return code, [json.loads(line) for line in out.getvalue().splitlines()]


class TestCommand(testtools.TestCase):
    def test_lines_carry_name_measured_bound_and_pass(self):
        code, lines = run("cancel/*")
        self.assertEqual(0, code)
        self.assertEqual(4, len(lines))
        for line in lines:
            self.assertEqual({"name", "measured", "bound", "pass"}, set(line))

    def test_a_bound_that_fails_gives_exit_code_1(self):
        made_up = Registry("benchmark case")

        @made_up.register("made-up")
        def case():
            yield at_most("fits", 1.0, 2.0)
            yield at_least("falls short", 1.0, 2.0)

        with mock.patch.object(bench.__main__, "cases", made_up):
            code, lines = run("made-up")
        self.assertEqual(1, code)
        self.assertEqual([True, False], [line["pass"] for line in lines])

    def test_a_figure_that_is_not_a_number_fails(self):
        self.assertFalse(at_most("empty", float("nan"), 1.5).passed)

    def test_connections_stay_under_the_endpoints_limit_at_the_targets_size(self):
        code, lines = run("connections")
        self.assertEqual(0, code)
        self.assertEqual([8, 8], [line["measured"] for line in lines])


class TestFigures(testtools.TestCase):
    def test_a_run_gives_the_same_figures_twice(self):
        for way in ("leases", "two_choices", "delegation", "static", "baseline"):
            first = run_way(way, MUEHLVIERTEL, load=0.5, seconds=8.0)
            self.assertEqual(first, run_way(way, MUEHLVIERTEL, load=0.5, seconds=8.0))

    def test_leases_refuse_no_start_and_answer_every_job(self):
        for deployment in (MUEHLVIERTEL, AMHARA):
            found = run_way("leases", deployment, load=0.8, seconds=20.0)
            self.assertNotIn("refused", found["wasted"])
            self.assertEqual(0, found["unanswered"])
