"""Differences between two versions, by entry and field."""

from collections.abc import Iterator

from .messages import Change, Difference, Entries


def find_differences(before: Entries, after: Entries) -> tuple[Difference, ...]:
    """Return the removed, changed and added entries.

    Entries are compared by place, which has their name, so a renamed one is removed and
    added.
    """
    removed = (
        Difference(Change.REMOVED, place, fields, {})
        for place, fields in before.items()
        if place not in after
    )
    added = (
        Difference(Change.ADDED, place, {}, fields)
        for place, fields in after.items()
        if place not in before
    )
    return (*removed, *_changed(before, after), *added)


def _changed(before: Entries, after: Entries) -> Iterator[Difference]:
    """Yield the entries of both with their fields that differ."""
    for place, fields in after.items():
        former = before.get(place, fields)
        names = [name for name, value in fields.items() if former[name] != value]
        if names:
            yield Difference(
                Change.CHANGED,
                place,
                {name: former[name] for name in names},
                {name: fields[name] for name in names},
            )
