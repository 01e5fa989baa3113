"""Makes a benchmark import this repository's package and test helpers, from whatever directory it is run."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]
