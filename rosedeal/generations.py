"""Which state of a class or tenant outlives a change of the settings: where name and meaning stay the same.

Numbers stand for them: state lies under a class's or tenant's number, not under its place in the settings.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence

from rosedeal.interface import Generation, RequestClass, Settings, Tenant

PIECE = 500  # classes or tenants compared in one step
Item = RequestClass | Tenant


def first_generation(settings: Settings) -> Generation:
    """The generation a proxy starts with: every number is a place."""
    classes, tenants = len(settings.classes), max(1, len(settings.tenants))
    return Generation(1, settings, tuple(range(classes)), tuple(range(tenants)), max(classes, tenants))


def next_generation(before: Generation, settings: Settings) -> Generator[None, None, Generation]:
    """The one that follows, where what is unchanged keeps its number; in pieces, as it takes milliseconds."""
    unused = before.unused
    classes, unused = yield from carry(before.settings.classes, before.classes, settings.classes, unused)
    tenants, unused = yield from carry(before.settings.tenants, before.tenants, settings.tenants, unused)
    if not settings.tenants:  # all that a deployment without tenants asks is one tenant's
        tenants, unused = ((unused,), unused + 1) if before.settings.tenants else (before.tenants, unused)
    return Generation(before.number + 1, settings, classes, tenants, unused)


def carry(
    old: Sequence[Item], numbers: tuple[int, ...], new: Sequence[Item], unused: int
) -> Generator[None, None, tuple[tuple[int, ...], int]]:
    """Numbers for `new`, and the first unused one; one without a name is never the same as another."""
    if new is old:
        return numbers, unused
    known: dict[str, tuple[Item, int]] = {}
    carried: list[int] = []
    for place, item in enumerate([*old, *new]):
        if place < len(old):
            known[item.name] = (item, numbers[place])
        else:
            was, number = known.get(item.name, (None, 0))
            if not item.name or (was is not item and was != item):
                number, unused = unused, unused + 1
            carried.append(number)
        if place % PIECE == 0:
            yield
    return tuple(carried), unused
