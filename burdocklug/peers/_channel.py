"""What this process keeps for one peer incarnation: link, pending calls, received requests."""

from dataclasses import dataclass, field

from eventlet.event import Event

from burdocklug.peers._dedupe import FrameWindow, RequestWindow

__all__ = ["Channel", "ClockBase", "PendingCall"]

CLOCK_DRIFT = 0.0002  # bound on the relative rate of two clocks


@dataclass(slots=True)
class ClockBase:
    """Estimates the age of frames from a sender whose clock has an unknown offset.

    The smallest difference between time of receipt and time of sending stands for age zero. It
    is raised slowly, so that drift between the clocks doesn't add up.

    Examples
    --------
    >>> clock = ClockBase()
    >>> clock.observe(sent_s=100.0, now_s=7.0)
    0.0
    >>> round(clock.observe(sent_s=101.0, now_s=8.5), 2)
    0.5
    """

    base_s: float | None = None
    observed_s: float = 0.0

    def observe(self, *, sent_s, now_s):
        """Take in a frame and return its age in seconds."""
        offset_s = now_s - sent_s
        if self.base_s is not None:
            raised_s = self.base_s + CLOCK_DRIFT * (now_s - self.observed_s)
            self.base_s = min(raised_s, offset_s)
        else:
            self.base_s = offset_s
        self.observed_s = now_s
        return offset_s - self.base_s

    def sender_time(self, now_s):
        """Return the earliest time that the sender's clock can show now."""
        return now_s - self.base_s


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that waits for its reply.

    Parameters
    ----------
    correlation : int
        Id of the call, unique for this pair of incarnations.
    body : bytes
        The encoded message.
    expires_s : float
        Time at which the caller gives up.
    handed : int
        How many copies were handed to nng.
    asked_s : float
        When the last copy or question was handed over.
    """

    correlation: int
    body: bytes
    expires_s: float
    copies: int = 0
    handed: int = 0
    asked_s: float = 0.0
    outgoing: object = None
    event: Event = field(default_factory=Event)

    def resolve(self, outcome):
        """Wake the caller with the reply body, or an exception to raise."""
        if self.event.ready():
            return
        if isinstance(outcome, Exception):
            self.event.send_exception(outcome)
        else:
            self.event.send(outcome)


@dataclass(slots=True, eq=False)
class Channel:
    """State towards and from one peer incarnation.

    Parameters
    ----------
    incarnation, name, failure_domain : str
        The peer; name and failure domain are empty until it was heard.
    link : Link
        Outgoing link.
    calls : dict
        Pending calls by correlation id, in ascending order.
    window : RequestWindow
        Requests received from the peer.
    seen : int
        Highest sequence received from the peer.
    heard_s : float or None
        When the last frame arrived.
    owes_acknowledgement : bool
        Whether frames with items arrived since the last frame was sent.
    refusals : int
        Refused connections since the last frame arrived.
    heartbeat : Outgoing or None
        The heartbeat that was queued last.
    """

    incarnation: str
    name: str = ""
    failure_domain: str = ""
    link: object = None
    calls: dict = field(default_factory=dict)
    window: RequestWindow = field(default_factory=RequestWindow)
    frames: FrameWindow = field(default_factory=FrameWindow)
    clock: ClockBase = field(default_factory=ClockBase)
    seen: int = 0
    heard_s: float | None = None
    owes_acknowledgement: bool = False
    refusals: int = 0
    heartbeat: object = None
    next_correlation: int = 1

    @property
    def low_water(self):
        """Lowest correlation id that still needs a reply."""
        return next(iter(self.calls), self.next_correlation)

    def note_frame(self, envelope, now_s):
        """Take in sequence, acknowledgement, mark and time of a received envelope."""
        if envelope.name:
            self.name = envelope.name
            self.failure_domain = envelope.failure_domain
        self.heard_s = now_s
        self.refusals = 0
        self.clock.observe(sent_s=envelope.sent_s, now_s=now_s)
        if envelope.target:
            self.seen = max(self.seen, envelope.sequence)
            self.link.acknowledge(envelope.seen)
            self.window.raise_mark(envelope.low_water)
        if envelope.items:
            self.owes_acknowledgement = True

    def open_call(self, body, expires_s):
        """Return a new pending call."""
        call = PendingCall(self.next_correlation, body, expires_s)
        self.next_correlation += 1
        self.calls[call.correlation] = call
        return call
