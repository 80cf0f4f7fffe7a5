"""Every bounded line of the bench, in virtual time: the same figures in every run."""

import functools

from testtools import TestCase
from testtools.matchers import Equals

import bench.__main__  # noqa: F401, registers the cases
from bench._cases import cases
from tests.scenarios import with_scenarios

LINES = {
    "burst/muehlviertel": [
        "burst/after/single_p99",
        "burst/unanswered",
    ],
    "cancel/wave": [
        "cancel/1_teams/operations_per_cancel",
        "cancel/1_teams/operations_per_start",
        "cancel/75_teams/operations_per_cancel",
        "cancel/75_teams/operations_per_start",
    ],
    "connections": [
        "connections/7_processes_24_endpoints",
        "connections/50_processes_600_endpoints",
    ],
    "contention/bursts": [
        f"contention/{seed}/{line}"
        for seed in (1, 2)
        for line in ("in_time", "worst_class", "refused_p50_s", "unanswered")
    ],
    "fairness/muehlviertel": [
        "fairness/quiet/single_p99",
        "fairness/quiet/refused",
    ],
    "faults/amhara/allocator_killed": [
        "faults/amhara/allocator_killed/settled_single_p99",
        "faults/amhara/allocator_killed/jobs_without_outcome",
    ],
    "faults/amhara/partition": [
        "faults/amhara/partition/settled_single_p99",
        "faults/amhara/partition/jobs_without_outcome",
    ],
    "faults/allocator_killed": [
        "faults/allocator_killed/settled_single_p99",
        "faults/allocator_killed/jobs_without_outcome",
    ],
    "faults/dispatcher_killed": [
        "faults/dispatcher_killed/settled_single_p99",
        "faults/dispatcher_killed/jobs_without_outcome",
    ],
    "faults/endpoint_lies": [
        "faults/endpoint_lies/settled_single_p99",
        "faults/endpoint_lies/jobs_without_outcome",
    ],
    "faults/endpoint_ten_times_slow": [
        "faults/endpoint_ten_times_slow/settled_single_p99",
        "faults/endpoint_ten_times_slow/jobs_without_outcome",
    ],
    "faults/failure_domain_dead": [
        "faults/failure_domain_dead/settled_single_p99",
        "faults/failure_domain_dead/jobs_without_outcome",
    ],
    "faults/half_rack_dead": [
        "faults/half_rack_dead/settled_single_p99",
        "faults/half_rack_dead/jobs_without_outcome",
    ],
    "faults/partition": [
        "faults/partition/settled_single_p99",
        "faults/partition/jobs_without_outcome",
    ],
    "goodput/amhara": [
        "goodput/amhara/100/left_out",
        "goodput/amhara/120",
        "goodput/amhara/300",
    ],
    "goodput/muehlviertel": [
        "goodput/muehlviertel/100/left_out",
        "goodput/muehlviertel/120",
        "goodput/muehlviertel/300",
    ],
    "routing/amhara/80/even": [
        "routing/amhara/80/even/single_p99",
        "routing/amhara/80/even/messages_per_task",
    ],
    "routing/amhara/80/uneven": [
        "routing/amhara/80/uneven/single_p99",
        "routing/amhara/80/uneven/messages_per_task",
    ],
    "routing/muehlviertel/80/even": [
        "routing/muehlviertel/80/even/single_p99",
        "routing/muehlviertel/80/even/messages_per_task",
    ],
    "routing/muehlviertel/80/uneven": [
        "routing/muehlviertel/80/uneven/single_p99",
        "routing/muehlviertel/80/uneven/messages_per_task",
    ],
    "speed/uneven": [
        "speed/uneven/jobs_in_time",
        "speed/uneven/false_alarms",
    ],
    "weights/amhara": [
        "weights/amhara/latency/single_p99",
        "weights/amhara/messages/single_p99",
        "weights/amhara/p99_of_messages_over_latency",
        "weights/amhara/extra_messages_of_latency_over_messages",
    ],
    "weights/muehlviertel": [
        "weights/muehlviertel/latency/single_p99",
        "weights/muehlviertel/messages/single_p99",
        "weights/muehlviertel/p99_of_messages_over_latency",
        "weights/muehlviertel/extra_messages_of_latency_over_messages",
    ],
}


@functools.cache
def run_case(name):
    """Return the lines of a case by name; each case runs once."""
    return {line.name: line for line in cases.get(name)()}


class CaseTableTest(TestCase):
    def test_every_bounded_case_is_listed(self):
        bounded = [name for name in cases.names() if not name.startswith("compare/")]
        self.assertThat(sorted(LINES), Equals(bounded))


@with_scenarios
class LineTest(TestCase):
    scenarios = [(line, {"case": case, "line": line}) for case in LINES for line in LINES[case]]

    def test_bound(self):
        lines = run_case(self.case)
        self.assertThat(sorted(lines), Equals(sorted(LINES[self.case])))
        line = lines[self.line]
        self.assertTrue(line.passed, f"{line.name}: {line.measured} against {line.bound}")
