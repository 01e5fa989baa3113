"""The section `views` of the settings file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=64)]


class ViewsConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the agreed views.

    `founders`: names of the dispatchers that bootstrap the first view, the same list on every dispatcher.
    `dir`: directory in which this dispatcher persists the view that it accepted last. `can`: capabilities
    that this dispatcher announces in its entry of the view.
    """

    founders: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=64)]
    dir: Annotated[str, Meta(min_length=1)]
    can: Annotated[
        tuple[Annotated[str, Meta(min_length=1, max_length=16)], ...], Meta(max_length=8)
    ] = ()

    def __post_init__(self) -> None:
        if len(set(self.founders)) != len(self.founders):
            raise ValueError("founders: the same name is listed twice")
