"""`python -m yewrill`: one real dispatcher, told where its configuration is by BALANCER_CONFIG.

With arguments it is the command line of `cli.py`.
"""

from __future__ import annotations

import gc

gc.disable()  # nearly all that a start makes stays for good; `Service.run` looks at it once and turns it on

from yewrill.service.early_signals import record_reload_signals  # noqa: E402

record_reload_signals()  # before all that takes long to import: a reload may come at any moment

import os  # noqa: E402
import sys  # noqa: E402

from yewrill.config.errors import ConfigError  # noqa: E402
from yewrill.config.reading import ENV_CONFIG, load_config  # noqa: E402
from yewrill.service.service import serve  # noqa: E402


def main() -> int:
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
