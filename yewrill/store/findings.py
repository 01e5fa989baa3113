"""Findings: damage and other anomalies that recovery, verification, reads or compaction detected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from yewrill.store.segment import Segment

MAX_FINDINGS = 1000


class FindingKind(StrEnum):
    """The kind of an anomaly. The sub-commands print the values."""

    TORN = "torn"  # a write at the end of the file was cut short
    DAMAGE = "damage"  # bytes fail their checksum
    HEADER = "header"  # a segment's header is damaged
    HINT = "hint"  # a hint file is damaged
    MANIFEST = "manifest"  # the manifest is damaged or missing
    MISSING = "missing"  # a segment that the manifest lists does not exist
    ADOPTED = "adopted"  # a segment that holds records, but is not listed in the manifest
    LATER_FORMAT = "later-format"  # a file written by a later version of the format
    UNWRITABLE = "unwritable"  # a file or the directory is not writable


@dataclass(frozen=True, slots=True)
class Finding:
    """One anomaly in a file, from byte offset `start` up to, and without, `end`."""

    kind: FindingKind
    file: str
    start: int = 0
    end: int = 0
    records: int | None = None  # number of records lost in the range; None: unknown
    note: str = ""

    def __str__(self) -> str:
        lost = "" if self.records is None else f" records={self.records}"
        offsets = f" bytes={self.start}-{self.end}" if self.end else ""
        note = f" {self.note}" if self.note else ""
        return f"{self.kind.value} file={self.file}{offsets}{lost}{note}"

    def as_dict(self) -> dict:
        """Returns the finding in the form of the sub-commands' JSON output."""
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
        """Marks a segment as damaged, and adds the finding unless it is there already or the list is full."""
        segment.damaged = True
        if finding not in self and len(self) < MAX_FINDINGS:
            self.append(finding)

    def mentions(self, *kinds: FindingKind) -> bool:
        """Whether any finding is of one of the given kinds."""
        return any(finding.kind in kinds for finding in self)
