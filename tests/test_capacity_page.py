"""The tables of the capacity page are those of the last committed measurement.

Guards against a page that was edited by hand, or not updated after a new measurement.
"""

import copy
import json
from pathlib import Path

import pytest

from yewrill.lab.scale import page

MEASURED = Path(__file__).parent.parent / "docs" / "measurements" / "capacity.json"


def test_the_tables_of_the_page_are_those_of_the_last_measurement():
    result = json.loads(MEASURED.read_text())
    assert not result["quick"]
    text = page.PAGE.read_text()
    assert page.render(text, result) == text
    changed = copy.deepcopy(result)
    changed["fleet"]["rows"][-1]["wire_out"] += 100.0
    assert page.render(text, changed) != text
    with pytest.raises(ValueError, match="no marks for control"):
        page.render("nothing", result)
