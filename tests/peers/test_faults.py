import eventlet

eventlet.monkey_patch()

import random  # noqa: E402
import socket  # noqa: E402

import msgspec  # noqa: E402
import pynng  # noqa: E402
from testtools import ExpectedException  # noqa: E402
from testtools.matchers import Equals, Is  # noqa: E402

from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable, _receiver  # noqa: E402
from burdocklug.peers._codec import (  # noqa: E402
    MAX_FRAME_BYTES,
    Envelope,
    FrameCodec,
    Misdirected,
    Notice,
    Refusal,
    RefusalReason,
    Reply,
    Request,
)
from burdocklug.peers._incarnation import mint_incarnation, short_form  # noqa: E402
from standins.ports import free_address  # noqa: E402
from tests.peers.support import (  # noqa: E402
    KEY,
    Echo,
    Handled,
    Leave,
    NetworkCase,
    Slow,
    alive_names,
    states,
)


class KilledPeerTest(NetworkCase):
    def test_call_after_the_kill_is_not_reached_and_one_in_flight_is_silent(self):
        one = self.network("p1")
        two = self.process("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"})
        in_flight = eventlet.spawn(one.call, two.incarnation, Slow(1, 30), timeout_s=30)
        eventlet.sleep(0.2)
        two.kill()
        with ExpectedException(PeerOutcomeUnknown):
            in_flight.wait()
        with ExpectedException(PeerUnreachable):
            one.call(two.incarnation, Echo(2), timeout_s=5)

    def test_refused_connections_are_reported_without_a_call(self):
        one = self.network("p1")
        two = self.process("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"})
        refused = []
        one.on_connection_refused(refused.append)
        two.kill()

        def send():
            one.send(two.incarnation, Echo(2))
            return refused

        self.wait_for(send)
        self.assertThat(set(refused), Equals({two.incarnation}))

    def test_killed_peer_is_declared_dead_everywhere(self):
        nets = self.fleet({"perg": ["p1", "p2"], "rohrbach": ["r1", "r2"]})
        victim = self.process("p3", seeds=[nets["p1"].address])
        self.wait_for(lambda: all("p3" in alive_names(n) for n in nets.values()))
        victim.kill()
        self.wait_for(lambda: all(states(n)["p3"] == "dead" for n in nets.values()))
        self.assertThat([n.death_reports for n in nets.values()], Equals([[]] * 4))

    def test_only_mate_declares_a_killed_peer_dead_with_witnesses_from_outside(self):
        nets = self.fleet({"perg": ["p1"], "rohrbach": ["r1", "r2", "r3"]})
        victim = self.process("p2", seeds=[nets["p1"].address])
        self.wait_for(lambda: all("p2" in alive_names(n) for n in nets.values()))
        victim.kill()
        self.wait_for(lambda: all(states(n)["p2"] == "dead" for n in nets.values()))


class FrozenPeerTest(NetworkCase):
    def test_frozen_peer_is_dead_stays_dead_and_learns_it(self):
        nets = self.fleet({"perg": ["p1", "p2"], "rohrbach": ["r1"]})
        one = nets["p1"]
        three = self.process("p3", seeds=[one.address])
        self.wait_for(lambda: all("p3" in alive_names(n) for n in nets.values()))
        self.assertThat(one.call(three.incarnation, Echo(1), timeout_s=5), Equals(Echo(1)))
        three.freeze()
        with ExpectedException(PeerOutcomeUnknown):
            one.call(three.incarnation, Echo(2), timeout_s=0.3)
        self.wait_for(lambda: all(states(n)["p3"] == "dead" for n in nets.values()))
        three.resume()

        def ask():
            return one.call(three.incarnation, Handled(), timeout_s=5)

        self.wait_for(lambda: ask().declared_dead)
        self.assertThat(ask().numbers, Equals([1]))
        self.assertThat(states(one)["p3"], Equals("dead"))
        self.assertThat(one.call(three.incarnation, Echo(3), timeout_s=5), Equals(Echo(3)))
        self.assertThat([n.death_reports for n in nets.values()], Equals([[]] * 3))
        eventlet.sleep(1.5)
        self.assertThat(ask().alive, Equals(["p1", "p2", "r1"]))
        one.call(three.incarnation, Leave(nets["p2"].incarnation), timeout_s=5)
        successor = nets["p2"].incarnation
        self.wait_for(
            lambda: all(n.successor_of(three.incarnation) == successor for n in nets.values())
        )

    def test_peer_resumed_after_a_freeze_declares_no_other_dead(self):
        one = self.network("p1", options={"dead_after_s": 600})
        two = self.process("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"})
        two.freeze()
        self.wait_for(lambda: states(one)["p2"] == "suspect")
        eventlet.sleep(2)
        two.resume()
        self.wait_for(lambda: alive_names(one) == {"p2"})
        eventlet.sleep(0.5)
        self.assertThat(one.death_reports, Equals([]))


class ReplacedPeerTest(NetworkCase):
    def test_old_incarnation_is_not_reached_and_dead(self):
        one, two = self.network("p1"), self.network("p2")
        old = two.incarnation
        one.call(old, Echo(1), timeout_s=5)
        two.stop()
        new = self.network("p2", address=two.address, seeds=[one.address])
        with ExpectedException(PeerUnreachable):
            one.call(old, Echo(2), timeout_s=5)
        self.wait_for(lambda: new.incarnation in {m.incarnation for m in one.members()})
        with ExpectedException(PeerUnreachable):
            one.call(old, Echo(3), timeout_s=5)
        self.assertThat(new.handled, Equals([]))

    def test_restarted_seed_without_seeds_of_its_own_is_found_again(self):
        one = self.network("p1")
        two = self.network("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"} and alive_names(two) == {"p1"})
        one.stop()
        new = self.network("p1", address=one.address)
        self.wait_for(lambda: alive_names(new) == {"p2"} and alive_names(two) == {"p1"})
        self.assertThat(two.member(one.incarnation).state, Equals("dead"))

    def test_call_that_the_old_incarnation_took_is_silent(self):
        one = self.network("p1")
        two = self.process("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"})
        in_flight = eventlet.spawn(one.call, two.incarnation, Slow(1, 30), timeout_s=30)
        eventlet.sleep(0.2)
        two.kill()
        new = self.network("p2", address=two.address, seeds=[one.address])
        with ExpectedException(PeerOutcomeUnknown):
            in_flight.wait()
        self.assertThat(new.handled, Equals([]))


class SilentLinkTest(NetworkCase):
    def check_call_survives(self, direction):
        one, to_one = self.behind_forwarder("p1")
        two, to_two = self.behind_forwarder("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"} and alive_names(two) == {"p1"})
        one.call(two.incarnation, Echo(0), timeout_s=5)
        if direction != "reply":
            to_two.silence_open_connections()
        if direction != "request":
            to_one.silence_open_connections()
        self.assertThat(one.call(two.incarnation, Echo(1), timeout_s=10), Equals(Echo(1)))
        self.assertThat(two.handled, Equals([0, 1]))

    def test_call_survives_a_silent_link_and_runs_once(self):
        for direction in ("request", "reply", "both"):
            with self.subTest(direction):
                self.check_call_survives(direction)

    def test_membership_survives_a_silent_link(self):
        one, to_one = self.behind_forwarder("p1")
        two, to_two = self.behind_forwarder("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"} and alive_names(two) == {"p1"})
        to_one.silence_open_connections()
        to_two.silence_open_connections()
        self.wait_for(lambda: one.counts().get("links_redialled", 0) > 0)
        self.wait_for(lambda: alive_names(one) == {"p2"} and alive_names(two) == {"p1"})
        self.assertThat(one.death_reports + two.death_reports, Equals([]))

    def test_cut_in_one_direction_makes_suspects_on_both_sides_and_no_dead(self):
        one, _to_one = self.behind_forwarder("p1")
        two, to_two = self.behind_forwarder("p2", seeds=[one.address])
        three = self.network("p3", seeds=[one.address])
        self.wait_for(lambda: all(len(alive_names(n)) == 2 for n in (one, two, three)))
        to_two.cut()
        self.wait_for(lambda: states(two)["p1"] == "suspect")
        self.wait_for(lambda: states(one)["p2"] == "suspect")
        to_two.heal()
        self.wait_for(lambda: all(len(alive_names(n)) == 2 for n in (one, two, three)))
        self.assertThat(one.death_reports + two.death_reports + three.death_reports, Equals([]))


class FlakyLinkTest(NetworkCase):
    SEED = 7
    CALLS = 600

    def test_outcomes_agree_with_what_was_handled(self):
        one, to_one = self.behind_forwarder("p1")
        two, to_two = self.behind_forwarder("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"} and alive_names(two) == {"p1"})
        rng = random.Random(self.SEED)
        outcomes = {}

        def call(number, timeout_s):
            try:
                one.call(two.incarnation, Slow(number, 0.02), timeout_s=timeout_s)
                outcomes[number] = "replied"
            except (PeerUnreachable, PeerOutcomeUnknown) as exc:
                outcomes[number] = type(exc).__name__

        for number in range(self.CALLS):
            eventlet.spawn(call, number, rng.choice([0.05, 0.3, 3.0]))
            if number % 40 == 0:
                link = rng.choice([to_one, to_two])
                rng.choice([link.cut, link.heal, link.silence_open_connections, link.heal])()
            eventlet.sleep(0.005)
        to_one.heal()
        to_two.heal()
        self.wait_for(lambda: len(outcomes) == self.CALLS)
        eventlet.sleep(2)
        handled = two.handled
        self.assertThat(sorted(set(handled)), Equals(sorted(handled)))
        not_reached = {n for n, outcome in outcomes.items() if outcome == "PeerUnreachable"}
        replied = {n for n, outcome in outcomes.items() if outcome == "replied"}
        self.assertThat(not_reached.intersection(handled), Equals(set()))
        self.assertThat(replied.difference(handled), Equals(set()))
        for outcome in ("replied", "PeerUnreachable", "PeerOutcomeUnknown"):
            self.assertIn(outcome, outcomes.values())


class MuteListenerTest(NetworkCase):
    def test_connection_whose_handshake_hangs_is_dialled_anew_and_no_backlog_grows(self):
        one = self.network("p1")
        two = self.process("p2", seeds=[one.address])
        self.wait_for(lambda: alive_names(one) == {"p2"})
        two.kill()
        host, _, port = two.address.partition(":")
        silent_listener = eventlet.listen((host, int(port)))
        self.addCleanup(silent_listener.close)

        def link():
            return one.dump()["links"][0]

        dials = link()["traffic"]["dials"]
        self.wait_for(lambda: link()["traffic"]["dials"] >= dials + 3)
        self.assertTrue(link()["queued"] <= 20)
        with ExpectedException(PeerUnreachable, ".*timeout"):
            one.call(two.incarnation, Echo(1), timeout_s=0.5)


class SplitTest(NetworkCase):
    def test_failure_domains_cut_off_are_suspect_and_come_back(self):
        layout = {"perg": ["p1", "p2"], "rohrbach": ["r1", "r2"]}
        nets, forwarders = {}, []
        seed = None
        for domain, names in layout.items():
            for name in names:
                listen_address = free_address()
                forwarders.append(self.forwarder(listen_address))
                nets[name] = self.network(
                    name,
                    domain=domain,
                    address=forwarders[-1].address,
                    listen_address=listen_address,
                    seeds=[seed] if seed else [],
                )
                seed = seed or nets[name].address
        self.wait_for(lambda: all(len(alive_names(n)) == 3 for n in nets.values()))
        filters = [
            (nets["p1"], ("r1", "r2")),
            (nets["p2"], ("r1", "r2")),
            (nets["r1"], ("p1", "p2")),
            (nets["r2"], ("p1", "p2")),
        ]
        cut = [self.cut_off(net, [nets[name].incarnation for name in far]) for net, far in filters]
        self.wait_for(
            lambda: alive_names(nets["p1"]) == {"p2"} and alive_names(nets["r1"]) == {"r2"}
        )
        self.wait_for(
            lambda: alive_names(nets["p2"]) == {"p1"} and alive_names(nets["r2"]) == {"r1"}
        )
        eventlet.sleep(2)
        self.assertThat(
            {state for n in nets.values() for state in states(n).values()},
            Equals({"alive", "suspect"}),
        )
        for heal in cut:
            heal()
        self.wait_for(lambda: all(len(alive_names(n)) == 3 for n in nets.values()))
        self.assertThat([n.death_reports for n in nets.values()], Equals([[]] * 4))

    def cut_off(self, network, incarnations):
        """Drop the frames that come to `network` from the given incarnations."""
        receiver = network._receiver
        opened = receiver._transport.codec.open
        far = {*incarnations, *map(short_form, incarnations)}

        def receive(frame):
            if opened(frame).sender not in far:
                type(receiver).receive(receiver, frame)

        receiver._listener._handle = receive

        def heal():
            receiver._listener._handle = receiver.receive

        return heal


class LinkChoiceTest(NetworkCase):
    def test_links_given_up_for_others_make_no_suspects(self):
        layout = {"perg": ["p1", "p2", "p3", "p4"], "rohrbach": ["r1", "r2", "r3", "r4"]}
        nets = self.fleet(layout, options={"remote_links": 1})
        seen = set()
        for _ in range(50):
            eventlet.sleep(0.05)
            seen.update(state for n in nets.values() for state in states(n).values())
        self.assertThat(seen, Equals({"alive"}))
        for n in nets.values():
            watched = [m for m in n.dump()["members"] if m["is_watched"]]
            self.assertTrue(all(m["heard_ago_s"] < 0.6 for m in watched))


class HeartbeatPartTest(NetworkCase):
    def test_parts_and_drain_state_come_with_heartbeats(self):
        nets = self.fleet({"perg": ["p1", "p2"]})
        one, two = nets["p1"], nets["p2"]
        received = []
        one.add_heartbeat_part("load", lambda: [1, 2], lambda *_: None)
        one.add_heartbeat_part("broken", lambda: 1 / 0, lambda *_: None)
        one.add_heartbeat_part("unknown", lambda: 3, lambda *_: None)
        two.add_heartbeat_part("broken", lambda: 5, lambda *_: None)
        two.add_heartbeat_part("load", lambda: None, lambda *part: received.append(part))
        one.draining = True
        self.wait_for(lambda: received and two.member(one.incarnation).draining)
        self.assertThat((received[-1][0].name, received[-1][1]), Equals(("p1", [1, 2])))


class DumpTest(NetworkCase):
    def test_dump_is_plain_data_with_members_links_and_counters(self):
        nets = self.fleet({"perg": ["p1", "p2"]})
        dump = msgspec.json.decode(msgspec.json.encode(nets["p1"].dump()))
        self.assertThat(dump["members"][0]["name"], Equals("p2"))
        self.assertThat(dump["links"][0]["is_open"], Is(True))
        self.assertTrue(dump["counters"]["frames_sent"] > 0)


class LeaveTest(NetworkCase):
    def test_leaver_is_left_and_the_chain_of_successors_is_followed(self):
        nets = self.fleet({"perg": ["p1", "p2"], "rohrbach": ["r1", "r2"]})
        one, two, three = nets["p1"], nets["p2"], nets["r1"]
        self.assertThat(one.leave(two.incarnation), Equals([]))
        one.stop()
        self.wait_for(lambda: states(nets["r2"])["p1"] == "left")
        self.assertThat(nets["r2"].successor_of(one.incarnation), Equals(two.incarnation))
        two.leave(three.incarnation)
        two.stop()
        self.wait_for(lambda: states(nets["r2"])["p2"] == "left")
        self.assertThat(nets["r2"].successor_of(one.incarnation), Equals(three.incarnation))
        self.assertThat(nets["r2"].successor_of(three.incarnation), Is(None))
        late = self.network("p9", seeds=[nets["r2"].address])
        self.wait_for(lambda: late.successor_of(one.incarnation) == three.incarnation)


class HostileFrameTest(NetworkCase):
    """Malformed, forged, replayed and misdirected frames, sent from a separate socket."""

    def setUp(self):
        super().setUp()
        self.one = self.network("p1")
        self.codec = FrameCodec(KEY)
        self.sender = mint_incarnation(free_address())
        self.sock = pynng.Push0()
        self.addCleanup(self.sock.close)
        self.sock.dial(f"tcp://{self.one.address}", block=False)
        self.sequence = 0

    def push(self, frame):
        while True:
            try:
                return self.sock.send(frame, block=False)
            except pynng.TryAgain:
                eventlet.sleep(0.01)

    def push_items(self, *items, sender=None, target=None, codec=None, low_water=0):
        self.sequence += 1
        target = self.one.incarnation if target is None else target
        envelope = Envelope(
            sender or self.sender, target, "p9", "perg", self.sequence, 0.0, 0, low_water, items
        )
        self.push((codec or self.codec).seal(envelope))

    def count(self, name):
        self.wait_for(lambda: self.one.counts().get(name, 0) > 0)
        return self.one.counts()[name]

    def request(self, correlation=1, *, number=1, expires_s=1e9):
        body = self.one._transport.types.encode(Echo(number))
        return Request(correlation, 1, expires_s, msgspec.Raw(body))

    def notice(self, number):
        return Notice(msgspec.Raw(self.one._transport.types.encode(Echo(number))))

    def test_a_recorded_one_way_message_is_handled_once(self):
        frames = []
        push, self.push = self.push, frames.append
        for number in range(3):
            self.push_items(self.notice(number))
        self.push = push
        for frame in [frames[1], frames[0], *frames, *frames]:
            self.push(frame)
        self.push_items(self.notice(9))
        self.wait_for(lambda: 9 in self.one.handled)
        self.assertThat(sorted(self.one.handled), Equals([0, 1, 2, 9]))
        self.assertThat(self.count("frames_repeated"), Equals(5))

    def test_a_burst_of_requests_runs_a_bounded_number_of_handlers(self):
        self.patch(_receiver, "MAX_HANDLERS", 20)
        types = self.one._transport.types
        bodies = [msgspec.Raw(types.encode(Slow(number, 0.5))) for number in range(200)]
        self.push_items(*(Request(n, 1, 1e9, body) for n, body in enumerate(bodies, 1)))
        self.wait_for(lambda: self.one.counts().get("handlers_refused", 0) == 180)
        self.assertThat(len(self.one.handled), Equals(20))
        again = msgspec.Raw(types.encode(Slow(199, 0.0)))
        eventlet.sleep(0.6)
        self.push_items(Request(200, 2, 1e9, again))
        self.wait_for(lambda: self.one.handled.count(199) == 1)

    def test_table_of_bad_frames(self):
        truncated = self.codec.seal(Envelope("a", "b", "c", "d", 1, 0.0, 0, 0, []))[:-3]
        codec = self.codec
        digest = codec._digest(b"\xc1garbage")
        rows = [
            ("wrong key", FrameCodec("f" * 16).seal(self.envelope()), "frames_not_authentic"),
            ("garbage", b"\x00" * 100, "frames_not_authentic"),
            ("short", b"x", "frames_not_authentic"),
            ("truncated", truncated, "frames_not_authentic"),
            ("malformed", digest + b"\xc1garbage", "frames_malformed"),
            ("own id", codec.seal(self.envelope(self.one.incarnation)), "frames_from_nobody"),
            ("no id", codec.seal(self.envelope("nobody")), "frames_from_nobody"),
        ]
        for name, frame, counter in rows:
            with self.subTest(name):
                before = self.one.counts().get(counter, 0)
                self.push(frame)
                self.wait_for(lambda n=before, c=counter: self.one.counts().get(c, 0) == n + 1)
        self.push_items(self.request(number=7))
        self.wait_for(lambda: self.one.handled == [7])

    def envelope(self, sender=None):
        items = [self.request(number=9)]
        return Envelope(
            sender or self.sender, self.one.incarnation, "p9", "perg", 1, 0.0, 0, 0, items
        )

    def test_oversized_frame_is_dropped_and_the_listener_lives(self):
        self.push(b"x" * (MAX_FRAME_BYTES + 1))
        eventlet.sleep(0.2)
        self.push_items(self.request(number=3))
        self.wait_for(lambda: self.one.handled == [3])

    def test_raw_bytes_on_the_socket_do_no_harm(self):
        host, _, port = self.one.address.partition(":")
        with socket.create_connection((host, int(port))) as raw:
            raw.sendall(b"GET / HTTP/1.1\r\n\r\n" * 100)
            self.push_items(self.request(number=4))
            self.wait_for(lambda: self.one.handled == [4])

    def test_repeated_request_is_handled_once(self):
        self.push_items(self.request())
        self.wait_for(lambda: self.one.handled == [1])
        self.push_items(self.request())
        self.push_items(self.request())
        self.wait_for(lambda: self.one.counts().get("requests_replied", 0) == 2)
        self.assertThat(self.one.handled, Equals([1]))

    def test_request_repeated_while_it_runs_is_handled_once(self):
        body = self.one._transport.types.encode(Slow(1, 0.3))
        for _ in range(3):
            self.push_items(Request(1, 1, 1e9, msgspec.Raw(body)))
        self.wait_for(lambda: self.one.counts().get("requests_in_progress", 0) == 2)
        self.assertThat(self.one.handled, Equals([1]))

    def test_request_below_the_low_water_mark_is_not_handled(self):
        self.push_items(self.request(5, number=5), low_water=5)
        self.push_items(self.request(4, number=4), low_water=5)
        self.count("requests_passed")
        self.assertThat(self.one.handled, Equals([5]))

    def test_expired_request_is_not_handled_even_when_repeated(self):
        self.push_items(self.request(1, number=1))
        self.push_items(self.request(2, number=2, expires_s=-1.0))
        self.push_items(self.request(2, number=2))
        self.wait_for(lambda: self.one.counts().get("requests_expired", 0) == 2)
        self.assertThat(self.one.handled, Equals([1]))

    def test_frame_with_an_unknown_short_id_is_from_nobody(self):
        self.push_items(self.request(), sender=short_form(self.sender))
        self.assertThat(self.count("frames_from_nobody"), Equals(1))
        self.push_items(self.request(1, number=1))
        self.push_items(self.request(2, number=2), sender=short_form(self.sender))
        self.wait_for(lambda: self.one.handled == [1, 2])

    def test_request_to_another_incarnation_is_refused(self):
        other = mint_incarnation(self.one.address)
        self.push_items(self.request(), target=other)
        self.count("items_misdirected")
        self.assertThat(self.one.handled, Equals([]))

    def test_replies_that_nobody_waits_for_are_counted(self):
        two = self.network("p2")
        call = eventlet.spawn(self.one.call, two.incarnation, Slow(1, 0.5), timeout_s=5)
        eventlet.sleep(0.2)
        crossed = self.one._transport.types.encode(Echo(666))
        refusal = Refusal(1, 1, RefusalReason.EXPIRED)
        misdirected = Misdirected(two.incarnation, 1, 1)
        self.push_items(Reply(1, crossed), refusal, misdirected)
        # A call whose status was queried may get its reply twice, which is counted as well.
        self.wait_for(lambda: self.one.counts().get("replies_late_or_repeated", 0) >= 2)
        self.assertThat(self.count("frames_from_nobody"), Equals(1))
        self.assertThat(call.wait(), Equals(Slow(1, 0.5)))
        eventlet.sleep(0.2)
        before = self.one.counts()["replies_late_or_repeated"]
        body = self.one._transport.types.encode(Echo(1))
        self.push_items(Reply(1, body), Reply(1, body), sender=two.incarnation)
        self.wait_for(lambda: self.one.counts()["replies_late_or_repeated"] == before + 2)
