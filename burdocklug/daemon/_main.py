"""Run one burdocklug process until a stop signal or a drain request."""

import argparse
import os
import sys

from burdocklug.daemon._imports import import_kernel

__all__ = ["main"]

SETTINGS_VARIABLE = "BURDOCKLUG_CONFIG"


def main(argv=None):
    """Run one process until a stop signal or a drain request.

    Parameters
    ----------
    argv : list of str, optional
        Arguments; those of the command line by default.

    Returns
    -------
    int
        Exit code: 0 after a graceful shutdown or for valid settings, 2 for invalid ones.
    """
    options = _parse_arguments(argv)
    import_kernel()
    from burdocklug.kernel import SettingsError, answer_for, configure_logs, load_settings

    try:
        settings = load_settings(options.settings)
    except SettingsError as exc:
        for fault in exc.faults:
            print(f"burdocklugd: {fault}", file=sys.stderr)
        return answer_for(exc.kind).exit_code
    if options.check:
        return 0
    configure_logs(level=settings.process.log_level, process=settings.process.name)
    from burdocklug.daemon._process import run_process

    return run_process(
        settings, on_sighup=lambda: _log_changed_sections(options.settings, settings)
    )


def _log_changed_sections(path, settings):
    """Reread the settings file and log its changed sections, which apply from the next start."""
    import structlog

    from burdocklug.kernel import SettingsError, load_settings

    log = structlog.get_logger(__name__)
    try:
        changed = load_settings(path)
    except SettingsError as exc:
        log.error("settings_have_faults", faults=exc.faults)
        return
    sections = [
        name
        for name in settings.__struct_fields__
        if getattr(settings, name) != getattr(changed, name)
    ]
    log.info("settings_reread", changed=sections)


def _parse_arguments(argv):
    parser = argparse.ArgumentParser(prog="burdocklugd", description=__doc__)
    parser.add_argument(
        "settings",
        nargs="?",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"YAML file with this process's settings; the path in {SETTINGS_VARIABLE} by default",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args(argv)
    if options.settings is None:
        parser.error(f"no settings file: give its path, or set {SETTINGS_VARIABLE}")
    return options
