"""Cases on contention: who is served when bursts of each kind exceed the pool's capacity."""

from bench._cases import at_least, at_most, cases
from bench._contended_load import KINDS, UnplannedScheduler, play, share
from burdocklug.pools.scheduling import Scheduler

SEEDS = (1, 2)
# A class is served at least this often, as a multiple of the share served of the whole.
MIN_CLASS_RATIO = 0.5
# Median age of a refused job, a quarter of the time for which callers wait.
MAX_REFUSAL_AGE_S = 0.375


@cases.register("contention/bursts")
def bursts():
    """Bursts of each kind and of one failure domain's callers, against an order without a plan."""
    for seed in SEEDS:
        before, _ = play(UnplannedScheduler, seed=seed)
        after, scheduler = play(Scheduler, seed=seed)
        name = f"contention/{seed}"
        details = {
            "before": round(share(before, "in_time"), 3),
            "served": round(share(after), 3),
            "served_before": round(share(before), 3),
            "contended_passes": scheduler.counts["contended_passes"],
        }
        in_time = round(share(after, "in_time"), 3)
        yield at_least(f"{name}/in_time", in_time, share(before, "in_time"), **details)
        ratio, worst = worst_class(after)
        yield at_least(f"{name}/worst_class", round(ratio, 3), MIN_CLASS_RATIO, worst=worst)
        ages = sorted(a.answered_s - a.asked_s for a in after if a.outcome == "refused")
        yield at_most(f"{name}/refused_p50_s", round(ages[len(ages) // 2], 3), MAX_REFUSAL_AGE_S)
        yield at_most(f"{name}/unanswered", sum(not ask.outcome for ask in after), 0)


def worst_class(asks):
    """Return the lowest share served of a class against the whole, and the class.

    Sizes, the largest tenth and the fifth below it, count against their queue.
    """
    whole = share(asks)
    ratios = {}
    for queue in (kind[0] for kind in KINDS):
        ratios[queue] = share(asks, queue=queue) / whole
        own = [ask for ask in asks if ask.queue == queue]
        for size, tenths in (("largest", (9,)), ("large", (7, 8))):
            found = [ask for ask in own if ask.tenth in tenths]
            ratios[f"{queue}/{size}"] = share(found) / max(share(own), 1e-9)
    for domain in {ask.domain for ask in asks}:
        ratios[domain] = share(asks, domain=domain) / whole
    worst = min(ratios, key=ratios.get)
    return ratios[worst], worst
