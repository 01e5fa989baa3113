"""Verification: a read-only check of every checksum in a store's directory."""

from __future__ import annotations

from collections.abc import Callable

from yewrill.store import format as fmt
from yewrill.store.errors import StoreError
from yewrill.store.files import Files, Handle, read_file
from yewrill.store.findings import Finding, FindingKind
from yewrill.store.frames import Frame, read_frames
from yewrill.store.recovery import MANIFEST, MAX_HEADER_READ_BYTES


class Verification:
    """One check of a directory. Raises OSError if a file can't be read."""

    def __init__(self, files: Files, progress: Callable[[int], None] = lambda size: None):
        """`progress` is called with the number of bytes after each frame."""
        self._files = files
        self._progress = progress
        self.findings: list[Finding] = []
        self.bytes_read = 0

    def run(self) -> None:
        """Checks the segments, hint files and manifest, and adds to `findings`."""
        present = self._files.list()
        for file in present:
            if (name := fmt.segment_name(file)) is None:
                continue
            self.bytes_read += self._files.open(file).size()
            if file.endswith(".hint"):
                self._check_hint(file, name, present)
            else:
                self._check_segment(file, name)
        self._check_manifest(present)

    def _add(
        self, kind: FindingKind, file: str, start: int = 0, end: int = 0, note: str = ""
    ) -> None:
        self.findings.append(Finding(kind, file, start, end, None, note))

    def _check_hint(self, file: str, name: fmt.SegmentName, present: list[str]) -> None:
        try:
            size = self._files.open(name.file).size() if name.file in present else -1
            for _ in fmt.decode_hint(read_file(self._files, file), size):
                pass
        except fmt.LaterFormat as error:
            self._add(FindingKind.LATER_FORMAT, file, note=str(error))
        except fmt.Malformed as error:
            self._add(FindingKind.HINT, file, note=str(error))

    def _check_segment(self, file: str, name: fmt.SegmentName) -> None:
        handle = self._files.open(file)
        size = handle.size()
        try:
            header = handle.read(min(size, MAX_HEADER_READ_BYTES), 0)
            _, start = fmt.decode_segment_header(header, name)
        except fmt.LaterFormat as error:
            self._add(FindingKind.LATER_FORMAT, file, note=str(error))
            return
        except fmt.Malformed as error:
            self._add(FindingKind.HEADER, file, note=str(error))
            start = 0
        self._check_frames(file, handle, start, size, name.salt)

    def _check_frames(self, file: str, handle: Handle, start: int, size: int, salt: int) -> None:
        for found in read_frames(handle, start, size, salt):
            if isinstance(found, Frame):
                self._progress(found.end - found.offset)
            # With a damaged segment header, the gap at offset 0 is that header, which is already reported.
            elif start or found.start:
                kind = FindingKind.TORN if found.tail and found.torn else FindingKind.DAMAGE
                self._add(kind, file, found.start, found.end)

    def _check_manifest(self, present: list[str]) -> None:
        if MANIFEST not in present:
            if any(file.endswith(".seg") for file in present):
                self._add(FindingKind.MANIFEST, MANIFEST, note="missing")
            return
        try:
            segments = fmt.decode_manifest(read_file(self._files, MANIFEST)).segments
        except StoreError as error:
            self._add(FindingKind.MANIFEST, MANIFEST, note=str(error))
            return
        for name in segments:
            if name.file not in present:
                self._add(FindingKind.MISSING, name.file, note="listed in the manifest")
