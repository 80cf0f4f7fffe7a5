import os
import socket
import subprocess
import sys

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan, Not

from standins.ports import HOST, PORTS, SHARE, free_address, free_ports

OTHER_PROCESS = "from standins.ports import free_ports; print(*free_ports(50))"
DIALLING_RANGE = "/proc/sys/net/ipv4/ip_local_port_range"


def number(address):
    return int(address.rpartition(":")[2])


class FreePortsTest(TestCase):
    def test_no_port_is_one_that_the_kernel_gives_to_dialling_sockets(self):
        with open(DIALLING_RANGE, encoding="ascii") as handle:
            lowest = int(handle.read().split()[0])
        self.assertThat(number(free_address()), LessThan(lowest))
        self.assertThat(PORTS.stop, LessThan(lowest + 1))

    def test_no_port_is_handed_out_twice_before_all_were(self):
        numbers = [number(free_address()) for _ in range(SHARE // 2)] + free_ports(100)
        self.assertThat(set(numbers), HasLength(SHARE // 2 + 100))

    def test_two_processes_get_different_ports_though_nobody_listens_yet(self):
        run = subprocess.run(
            [sys.executable, "-c", OTHER_PROCESS], capture_output=True, text=True, check=True
        )
        theirs = {int(port) // SHARE for port in run.stdout.split()}
        ours = {port // SHARE for port in free_ports(50)}
        self.assertThat(theirs & ours, Equals(set()))

    def test_a_port_in_use_is_passed_over(self):
        first = number(free_address())
        with socket.socket() as sock:
            sock.bind((HOST, first + 1))
            sock.listen()
            self.assertThat(number(free_address()), Not(Equals(first + 1)))

    def test_consecutive_ports_are_consecutive(self):
        ports = free_ports(60)
        self.assertThat(ports, Equals(list(range(ports[0], ports[0] + 60))))

    def test_more_than_a_process_may_have_is_an_error_that_names_the_number(self):
        error = self.assertRaises(OSError, free_ports, SHARE)
        self.assertThat(str(error), Equals(f"no {SHARE} free ports in a row, pid {os.getpid()}"))
