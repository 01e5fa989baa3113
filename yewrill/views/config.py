"""What the operators' file says of the views."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=64)]


class ViewsConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """Who founds the first view, the same list everywhere; where this dispatcher keeps which view it was in
    last; words for what it can do, which others read in the view."""

    founders: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=64)]
    dir: Annotated[str, Meta(min_length=1)]
    can: Annotated[
        tuple[Annotated[str, Meta(min_length=1, max_length=16)], ...], Meta(max_length=8)
    ] = ()

    def __post_init__(self) -> None:
        if len(set(self.founders)) != len(self.founders):
            raise ValueError("founders: the same name is there twice")
