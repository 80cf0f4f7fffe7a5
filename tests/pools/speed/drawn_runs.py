"""Run times drawn as the journey planner's: estimates off by 40 %, and a tail of long runs."""

ERROR = 0.4
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
SPEEDS = (0.6, 1.0, 1.6)

__all__ = ["SPEEDS", "draw_normal_ratio", "draw_ratio"]


def draw_ratio(rng):
    """Return a real run time over its estimate, which is off by at most 40 %."""
    return rng.uniform(1 - ERROR, 1 + ERROR) * _tail(rng)


def draw_normal_ratio(rng):
    """Return a real run time over its estimate, whose error is 40 % in one standard deviation."""
    return rng.lognormvariate(0, ERROR) * _tail(rng)


def _tail(rng):
    return TAIL_FACTOR if rng.random() < TAIL_SHARE else 1.0
