"""The capacity page tells what the last committed measurement gave."""

import copy
import json
from pathlib import Path

import pytest

from yewrill.lab.scale import page

MEASURED = Path(__file__).parent.parent / "docs" / "measurements" / "capacity.json"


def test_the_pages_tables_are_those_of_the_last_measurement():
    result = json.loads(MEASURED.read_text())
    assert not result["quick"]
    text = page.PAGE.read_text()
    assert page.render(text, result) == text
    other = copy.deepcopy(result)
    other["fleet"]["rows"][-1]["wire_out"] += 100.0
    assert page.render(text, other) != text
    with pytest.raises(ValueError, match="no marks for control"):
        page.render("nothing", result)
