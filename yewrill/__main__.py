"""`python -m yewrill` runs a dispatcher with the configuration file named by BALANCER_CONFIG.

With arguments it runs the command line of `cli.py` instead.
"""

from __future__ import annotations

import gc

# Nearly all objects created at startup live as long as the process, so garbage collections would be wasted
# work. `Service.run` collects once and enables the collector.
gc.disable()

from yewrill.service.early_signals import record_reload_signals  # noqa: E402

# A reload signal may arrive at any time, so this precedes the slow imports.
record_reload_signals()

import os  # noqa: E402
import sys  # noqa: E402

from yewrill.config.errors import ConfigError  # noqa: E402
from yewrill.config.reading import ENV_CONFIG, load_config  # noqa: E402
from yewrill.service.service import serve  # noqa: E402


def main() -> int:
    """Runs the dispatcher until SIGTERM. Returns the exit status: 2 for an invalid configuration."""
    if len(sys.argv) > 1:
        from yewrill.cli import main as command_line

        command_line(prog_name="yewrill")
    path = os.environ.get(ENV_CONFIG)
    try:
        if not path:
            raise ConfigError(f"{ENV_CONFIG}: not set")
        config = load_config(path, os.environ)
    except ConfigError as error:
        print(f"yewrill: {error}", file=sys.stderr)
        return 2
    return serve(
        config,
        os.environ.get("YEWRILL_LOG", "INFO"),
        lambda: load_config(path, os.environ),
        os.environ.get("YEWRILL_LOG_FORMAT", "plain"),
    )


if __name__ == "__main__":
    sys.exit(main())
