"""Stand-ins for what surrounds the system, for tests, the demo and benchmarks."""
