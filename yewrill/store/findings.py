"""What an opening, a verification, a reader or a compaction met and did not expect."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from yewrill.store.segment import Segment

MAX_FINDINGS = 1000


class FindingKind(StrEnum):
    """What a finding is of. The values are those that the sub-commands print."""

    TORN = "torn"  # a write at the end of the file that was never whole
    DAMAGE = "damage"  # bytes that are not what was written
    HEADER = "header"  # a segment's header is damaged
    HINT = "hint"  # a hint file is damaged
    MANIFEST = "manifest"  # the manifest is damaged or missing
    MISSING = "missing"  # a segment that the manifest names is not there
    ADOPTED = "adopted"  # a segment with records that the manifest does not name
    LATER_FORMAT = "later-format"  # written by a later version
    UNWRITABLE = "unwritable"  # the directory can't be written


@dataclass(frozen=True, slots=True)
class Finding:
    """Something unexpected in a file; offsets in bytes."""

    kind: FindingKind
    file: str
    start: int = 0
    end: int = 0
    records: int | None = None  # lost there; None: unknown
    note: str = ""

    def __str__(self) -> str:
        lost = "" if self.records is None else f" records={self.records}"
        offsets = f" bytes={self.start}-{self.end}" if self.end else ""
        note = f" {self.note}" if self.note else ""
        return f"{self.kind.value} file={self.file}{offsets}{lost}{note}"

    def as_dict(self) -> dict:
        """Return the finding as the sub-commands print it."""
        return {
            "what": self.kind.value,
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

    def mentions(self, *kinds: FindingKind) -> bool:
        """Whether any finding is of one of these kinds."""
        return any(finding.kind in kinds for finding in self)
