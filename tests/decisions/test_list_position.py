"""Which lists and changes are older than the list in use."""

from __future__ import annotations

import pytest

from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.list_position import OLDER_LISTS_S, ListPosition


def position_at(index: int) -> ListPosition:
    position = ListPosition()
    position.note_applied(ListKind.CACHED, index, is_partial=False)
    return position


@pytest.mark.parametrize(
    ("index", "rejected"), [(43, True), (44, False), (45, False), (0, False), (-1, False)]
)
def test_a_complete_list_with_a_lower_index_is_rejected(index: int, rejected: bool) -> None:
    position = position_at(44)
    assert position.rejects_as_older(ListKind.COMPLETE, index, 0.0) is rejected


def test_a_change_is_not_rejected() -> None:
    position = position_at(44)
    assert position.rejects_as_older(ListKind.COMPLETE, 42, 0.0)
    assert not position.rejects_as_older(ListKind.DELTA, 40, 0.0)


def test_an_older_list_is_accepted_once_nothing_newer_has_come_for_long() -> None:
    position = position_at(44)

    def rejects(now_s: float) -> bool:
        return position.rejects_as_older(ListKind.COMPLETE, 3, now_s)

    assert rejects(100.0)
    assert rejects(100.0 + OLDER_LISTS_S - 0.1)
    position.note_applied(ListKind.DELTA, 45, is_partial=False)  # which begins the time anew
    assert rejects(100.0 + OLDER_LISTS_S)
    assert rejects(100.0 + 2 * OLDER_LISTS_S - 0.1)
    assert not rejects(100.0 + 2 * OLDER_LISTS_S)
    position.note_applied(ListKind.COMPLETE, 3, is_partial=False)
    assert position.resume_index == position.index == 3


def test_a_watch_resumes_where_nothing_is_missing() -> None:
    position = position_at(44)
    position.note_skipped()
    position.note_applied(ListKind.DELTA, 46, is_partial=False)
    assert (position.index, position.resume_index) == (46, 44)
    position.note_applied(ListKind.COMPLETE, 47, is_partial=True)
    assert position.resume_index == 44
    position.note_applied(ListKind.COMPLETE, 48, is_partial=False)
    assert position.resume_index == 48
