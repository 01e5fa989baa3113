"""What an opening, a verification, a reader or a compaction met and did not expect."""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.store.segment import Segment

MAX_FINDINGS = 1000


@dataclass(frozen=True, slots=True)
class Finding:
    """Something unexpected in a file; offsets in bytes."""

    # damage, torn, header, hint, manifest, leftover, adopted, missing, later-format, unwritable
    what: str
    file: str
    start: int = 0
    end: int = 0
    records: int | None = None  # lost there; None: unknown
    note: str = ""

    def __str__(self) -> str:
        lost = "" if self.records is None else f" records={self.records}"
        offsets = f" bytes={self.start}-{self.end}" if self.end else ""
        note = f" {self.note}" if self.note else ""
        return f"{self.what} file={self.file}{offsets}{lost}{note}"

    def as_dict(self) -> dict:
        """Return the finding as the sub-commands print it."""
        return {
            "what": self.what,
            "file": self.file,
            "start": self.start,
            "end": self.end,
            "records": self.records,
            "note": self.note,
        }


class Findings(list[Finding]):
    """The findings of one open store."""

    def add_damage(self, segment: Segment, finding: Finding) -> None:
        """Mark a segment as damaged, and add a finding that is not yet known."""
        segment.damaged = True
        if finding not in self and len(self) < MAX_FINDINGS:
            self.append(finding)

    def mentions(self, *kinds: str) -> bool:
        """Whether any finding is of one of these kinds."""
        return any(finding.what in kinds for finding in self)
