"""Plays the case that ``claim.txt`` describes."""

import time

from review.standins.deployment import CannotRun, Deployment, config, job, main, phase, route

PROCESSES = {
    "freistadt-1": "freistadt",
    "freistadt-2": "freistadt",
    "rohrbach-1": "rohrbach",
    "perg-1": "perg",
}
IDLE_S = 2.0  # connections without a byte for this long go silent
CONTACT_S = 3.0  # `contact_ms`
APPLY_S = 2.0  # `config_apply_ms`
WATCH_S = 12.0
MARGIN_S = 0.5


def case(record, trouble):
    """Silence the idle connections once, change the config later, and ask every process."""
    deployment = Deployment(PROCESSES, workers=2, record=record, networked=True).start()
    deployment.operate(config(4, route("r-first", "/first/")))
    time.sleep(3.0)
    if trouble:
        deployment.network(silence_idle_s=IDLE_S)
    time.sleep(CONTACT_S + MARGIN_S)
    acknowledged_s = deployment.operate(config(9, route("r-second", "/second/")))
    time.sleep(APPLY_S + MARGIN_S)
    wrong = []
    number = 0
    while time.monotonic() < acknowledged_s + WATCH_S:
        for name in PROCESSES:
            number += 1
            wrong += ask(deployment, name, f"{number:016x}", acknowledged_s)
        time.sleep(1.0)
    runs = deployment.runs()
    record.note_runs(runs)
    for name, what, after_s in wrong:
        record.note(what, process=name, after_ack_s=round(after_s, 3))
    return bool(wrong)


def ask(deployment, name, job_id, acknowledged_s):
    """Use the added and the dropped route once; return what only the older config allows."""
    wrong = []
    sent_s = time.monotonic()
    status, _answer = deployment.request(name, "GET", "/second/")
    if status is None:
        raise CannotRun(f"{name} does not answer")
    if status == 404:
        wrong.append((name, "refused with 404 though the route is there", sent_s - acknowledged_s))
    sent_s = time.monotonic()
    body = job("run 0.05 cpu 2000", phase(1, 50))
    status, _answer = deployment.request(name, "POST", f"/first/{job_id}", body)
    if status == 200:
        wrong.append((name, "run with a dropped route", sent_s - acknowledged_s))
    return wrong


if __name__ == "__main__":
    main(case)
