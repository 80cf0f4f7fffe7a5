"""The platform's stand-in with a store that does some writes late and does not answer them.

The first write of each of the keys after `--late-keys`, separated by commas, is done `--late-s`
seconds later, without an answer; all other calls are answered. The other arguments are those of
`standins.platform`.
"""

import argparse
import sys

import eventlet

from standins import platform

HANG_S = 30.0


class LateStore(platform.PlatformServer):
    """Store that delays one write of each of some keys."""

    late_s = 0.0
    late_keys = frozenset()

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._due = set(self.late_keys)

    def _store_call(self, method, path, query, body):
        keys = {write["key"] for write in body.get("writes", [])} if path == "/kv-txn" else set()
        late = keys & self._due
        if not late:
            return super()._store_call(method, path, query, body)
        self._due -= late
        eventlet.spawn_after(self.late_s, self._carry_out, method, path, query, body)
        eventlet.sleep(HANG_S)
        return 503, {}

    def _carry_out(self, method, path, query, body):
        status, _ = super()._store_call(method, path, query, body)
        self._tell()
        print(f"late write of {body['writes'][0]['key']}: {status}", flush=True)


def main(argv):
    """Serve until a signal ends the process."""
    parser = argparse.ArgumentParser(allow_abbrev=False)
    parser.add_argument("--late-s", type=float, default=0.0)
    parser.add_argument("--late-keys", default="")
    own, others = parser.parse_known_args(argv)
    LateStore.late_s = own.late_s
    LateStore.late_keys = frozenset(filter(None, own.late_keys.split(",")))
    platform.PlatformServer = LateStore
    return platform.main(others)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
