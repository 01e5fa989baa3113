"""Write the fixtures of test_compatibility.py by the code as it stands.

Their directory names the version that wrote them: this is run on that version only, never to make a failing
test pass. In the repository's root: `PYTHONPATH=. python tests/make_fixtures.py`.
"""

from __future__ import annotations

import fixture_messages as messages
from fixture_files import DIRECTORY, write_encoded, write_json


def write_messages() -> None:
    write_encoded("members", messages.members_datagrams())
    write_encoded("parts", messages.parts())
    write_encoded("views", messages.view_messages())
    write_json("views_agreed", messages.view_agreements())
    write_encoded("zones", messages.zone_messages())
    write_encoded("ownership", messages.ownership_messages())
    write_encoded("ownership_states", messages.ownership_states())
    write_encoded("calendar", messages.calendar())


def main() -> None:
    write_messages()
    print(f"written: {DIRECTORY}")


if __name__ == "__main__":
    main()
