"""Tests of changes of the table by which hosts route requests."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonspoke.internal.fleet.messages import RouteRow
from persimmonspoke.internal.ranges.routes import with_rows

KEYS = 40


class NeverWalked(tuple):
    """Rows of which only parts may be read."""

    __slots__ = ()

    def __iter__(self):
        raise AssertionError("all rows were read")


def table(firsts, owner, end=KEYS, gaps=()):
    """Return adjacent rows with the given first keys, without those in `gaps`."""
    bounds = [*sorted(firsts), end]
    return tuple(
        RouteRow(first, following - 1, f"{owner}{first}", 1, 0.0)
        for first, following in zip(bounds, bounds[1:], strict=False)
        if first not in gaps
    )


def changed(rows, new):
    """Return what `with_rows` should, key by key."""
    covered = range(new[0].first, new[-1].last + 1)
    owners = {
        key: (row.owner, key in covered)
        for row in (*rows, *new)
        for key in range(row.first, row.last + 1)
        if row in new or key not in covered
    }
    return owners


def owners_of(rows, covered):
    return {
        key: (row.owner, key in covered)
        for row in rows
        for key in range(row.first, row.last + 1)
    }


FIRSTS = st.sets(st.integers(0, KEYS - 1), min_size=1, max_size=12)


class TestChangedRows(unittest.TestCase):
    @settings(deadline=None, derandomize=True, max_examples=500)
    @given(FIRSTS, st.sets(st.integers(0, KEYS)), FIRSTS, st.integers(1, KEYS))
    def test_only_the_owners_of_the_changed_keys_change(
        self, firsts, gaps, new_firsts, length
    ):
        rows = table(firsts, "old", gaps=gaps)
        new = table(new_firsts, "new", end=max(new_firsts) + length)
        found = with_rows(rows, [row.first for row in rows], list(new))
        covered = range(new[0].first, new[-1].last + 1)
        self.assertEqual(owners_of(found, covered), changed(rows, new))
        keys = [key for row in found for key in (row.first, row.last)]
        self.assertEqual(keys, sorted(keys))

    def test_a_change_does_not_read_the_whole_table(self):
        rows = table(range(0, KEYS, 4), "old")
        new = replace(rows[3], owner="new", first=rows[3].first + 1)
        found = with_rows(NeverWalked(rows), [row.first for row in rows], [new])
        self.assertEqual(len(found), len(rows) + 1)
