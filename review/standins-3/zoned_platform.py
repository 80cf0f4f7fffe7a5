"""The platform's stand-in; processes of some zones see other addresses of some workers.

Each `--view LISTEN ADDRESS=SEEN,...` serves the store at one more address, where entries of workers
name the second address of a pair for the first. The other arguments are those of
`standins.platform`.
"""

import argparse
import base64
import json
import sys

from standins import platform

_serve = platform._serve


def replace_addresses(answer, seen):
    """Return an answer of the store with other addresses in the entries of workers."""
    if isinstance(answer, list):
        return [replace_addresses(item, seen) for item in answer]
    if not isinstance(answer, dict):
        return answer
    if str(answer.get("key", "")).startswith("servers/") and answer.get("value"):
        entry = json.loads(base64.b64decode(answer["value"]))
        entry["address"] = seen.get(entry["address"], entry["address"])
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**answer, "value": value}
    return {key: replace_addresses(value, seen) for key, value in answer.items()}


def view_of(handle, seen):
    """Return the handler of a store that shows other addresses of some workers."""

    def handle_view(*args):
        status, answer = handle(*args)
        return status, replace_addresses(answer, seen)

    return handle_view


def main(argv):
    """Serve until a signal ends the process."""
    parser = argparse.ArgumentParser(allow_abbrev=False)
    parser.add_argument("--view", nargs=2, action="append", default=[])
    parser.add_argument("--listen", required=True)
    own, others = parser.parse_known_args(argv)

    def serve(address, handle):
        if address == own.listen:
            for listen, pairs in own.view:
                seen = dict(pair.split("=") for pair in pairs.split(","))
                _serve(listen, view_of(handle, seen))
        return _serve(address, handle)

    platform._serve = serve
    return platform.main(["--listen", own.listen, *others])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
