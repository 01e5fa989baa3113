"""The ids of all open requests, in this process and in the other process of a hot restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yewrill.service.hot_restart import HotRestart


class OpenRequests:
    """Request ids in use. A request whose client has left stays in use until its last attempt ends."""

    def __init__(self, hot_restart: HotRestart | None):
        self.ids: set[str] = set()
        self._hot_restart = hot_restart

    def __contains__(self, id: str) -> bool:
        return id in self.ids or (
            self._hot_restart is not None and self._hot_restart.open_elsewhere(id)
        )

    def add(self, id: str) -> None:
        """Adds an id, and notifies the other process."""
        self.ids.add(id)
        if self._hot_restart is not None:
            self._hot_restart.send({"open": id})

    def discard(self, id: str) -> None:
        """Removes an id, and notifies the other process."""
        self.ids.discard(id)
        if self._hot_restart is not None:
            self._hot_restart.send({"shut": id})
