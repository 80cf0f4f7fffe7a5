"""State that a process keeps for each peer incarnation: link, calls and received requests."""

from dataclasses import dataclass, field

from eventlet.event import Event

from burdocklug.peers._dedupe import FrameWindow, RequestWindow

__all__ = ["Channel", "SenderClock", "PendingCall"]

MAX_CLOCK_DRIFT = 0.0002  # seconds that two clocks may drift apart per second


@dataclass(slots=True)
class SenderClock:
    """Estimates the age of frames from a sender whose clock has an unknown offset.

    The frame with the smallest difference between its times of receipt and sending counts as
    delivered without delay; its difference is the offset of the clocks. The offset is raised at the
    rate `MAX_CLOCK_DRIFT`, so that drift between the clocks does not add up.

    Examples
    --------
    >>> clock = SenderClock()
    >>> clock.observe(sent_s=100.0, now_s=7.0)
    0.0
    >>> round(clock.observe(sent_s=101.0, now_s=8.5), 2)
    0.5
    """

    base_s: float | None = None
    observed_s: float = 0.0

    def observe(self, *, sent_s, now_s):
        """Update the offset from a received frame; return the age of the frame in seconds."""
        offset_s = now_s - sent_s
        if self.base_s is not None:
            raised_s = self.base_s + MAX_CLOCK_DRIFT * (now_s - self.observed_s)
            self.base_s = min(raised_s, offset_s)
        else:
            self.base_s = offset_s
        self.observed_s = now_s
        return offset_s - self.base_s

    def earliest_sender_time(self, now_s):
        """Return the estimated lower bound of the sender's clock at `now_s`."""
        return now_s - self.base_s


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that waits for its reply.

    Parameters
    ----------
    correlation : int
        Id of the call, unique between the two incarnations.
    body : bytes
        The encoded message.
    expires_s : float
        Monotonic time at which the caller stops to wait.
    copies_queued : int
        Copies of the request queued so far; the number of the latest copy.
    copies_sent : int
        Copies of the request passed to nng.
    queried_s : float
        Time of the latest copy passed to nng or the latest status query queued.
    outgoing : Outgoing or None
        Latest copy as queued.
    event : Event
        Gets the outcome of the call.
    """

    correlation: int
    body: bytes
    expires_s: float
    copies_queued: int = 0
    copies_sent: int = 0
    queried_s: float = 0.0
    outgoing: object = None
    event: Event = field(default_factory=Event)

    def resolve(self, outcome):
        """Set the outcome of the call, unless it is set: a reply body or an exception to raise."""
        if self.event.ready():
            return
        if isinstance(outcome, Exception):
            self.event.send_exception(outcome)
        else:
            self.event.send(outcome)


@dataclass(slots=True, eq=False)
class Channel:
    """State of the traffic with one peer incarnation, in both directions.

    Parameters
    ----------
    incarnation, name, failure_domain : str
        Identity of the peer; name and failure domain are empty until a frame carried them.
    link : Link
        Outgoing link.
    calls : dict
        Pending calls by correlation id, in ascending order.
    request_window : RequestWindow
        Requests received from the peer.
    frame_window : FrameWindow
        Sequences of the frames received from the peer.
    clock : SenderClock
        Offset of the peer's clock.
    received_sequence : int
        Highest sequence received from the peer, acknowledged by the next frame to it.
    last_received_s : float or None
        Monotonic time at which the last frame arrived.
    is_acknowledgement_due : bool
        Whether frames with items arrived since the last frame to the peer was sealed.
    consecutive_refusals : int
        Refused connections since the last frame arrived.
    heartbeat : Outgoing or None
        The latest heartbeat queued for the peer.
    """

    incarnation: str
    name: str = ""
    failure_domain: str = ""
    link: object = None
    calls: dict = field(default_factory=dict)
    request_window: RequestWindow = field(default_factory=RequestWindow)
    frame_window: FrameWindow = field(default_factory=FrameWindow)
    clock: SenderClock = field(default_factory=SenderClock)
    received_sequence: int = 0
    last_received_s: float | None = None
    is_acknowledgement_due: bool = False
    consecutive_refusals: int = 0
    heartbeat: object = None
    next_correlation: int = 1

    @property
    def low_water(self):
        """Lowest correlation id that still waits for a reply."""
        return next(iter(self.calls), self.next_correlation)

    def record_envelope(self, envelope, now_s):
        """Update the state from the header of a received envelope."""
        if envelope.name:
            self.name = envelope.name
            self.failure_domain = envelope.failure_domain
        self.last_received_s = now_s
        self.consecutive_refusals = 0
        self.clock.observe(sent_s=envelope.sent_s, now_s=now_s)
        if envelope.target:
            self.received_sequence = max(self.received_sequence, envelope.sequence)
            self.link.acknowledge(envelope.acknowledged_sequence)
            self.request_window.raise_low_water(envelope.low_water)
        if envelope.items:
            self.is_acknowledgement_due = True

    def open_call(self, body, expires_s):
        """Create a pending call with the next correlation id, and return it."""
        call = PendingCall(self.next_correlation, body, expires_s)
        self.next_correlation += 1
        self.calls[call.correlation] = call
        return call
