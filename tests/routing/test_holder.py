import testtools

from burdocklug.routing import RouteEndpoint, SlotHolder, SlotLoad


class TestSilentAllocators(testtools.TestCase):
    """A holder with two allocators, of which the nearer one never answers."""

    def setUp(self):
        super().setUp()
        self.holder = SlotHolder(service="press", failure_domain="north")
        endpoints = [RouteEndpoint("e1", "north", 8), RouteEndpoint("e2", "south", 8)]
        self.holder.update(0.0, endpoints, {"e1": "near", "e2": "far"})

    def asked(self, now_s):
        _, out = self.holder.pump(now_s, 1)
        return [item.to for item in out if getattr(item.message, "waiting", 0)]

    def test_another_allocator_is_asked_when_the_first_does_not_answer(self):
        self.assertEqual(["near"], self.asked(1.0))
        self.assertEqual([], self.asked(1.05))
        self.assertEqual(["far"], self.asked(1.5))

    def test_an_allocator_without_capacity_is_not_asked(self):
        self.holder.load(0.5, "near", SlotLoad("press", capacity=0, free=0, queued=0))
        self.assertEqual(["far"], self.asked(1.0))
