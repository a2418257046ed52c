"""Tests of the compressed values that relays pass on."""

import unittest
import zlib

import msgpack

from persimmonspoke.errors import MalformedMessage
from persimmonspoke.internal.news import packing
from persimmonspoke.internal.store.api import StoredObject

LARGE = {"rows": [[f"r-{number}", "h", 1.5] for number in range(1000)]}


class TestPackedValues(unittest.TestCase):
    def setUp(self):
        self.values = packing.PackedValues()

    def test_a_large_value_shrinks_and_is_read_as_it_was(self):
        data = self.values.get(StoredObject("k", LARGE, 1))
        self.assertLess(len(data), len(msgpack.packb(LARGE)) / 2)
        self.assertEqual(packing.unpack(data), LARGE)

    def test_each_version_is_compressed_once(self):
        first = self.values.get(StoredObject("k", LARGE, 1))
        self.assertIs(self.values.get(StoredObject("k", LARGE, 1)), first)
        changed = {**LARGE, "version": 2}
        second = self.values.get(StoredObject("k", changed, 2))
        self.assertEqual(packing.unpack(second), changed)

    def test_small_and_deleted_objects_are_passed_on_as_they_are(self):
        self.assertIsNone(self.values.get(StoredObject("k", {"a": 1}, 1)))
        self.assertIsNone(self.values.get(StoredObject("k", {}, 1)))

    def test_what_is_no_compressed_object_is_malformed(self):
        whole = self.values.get(StoredObject("k", LARGE, 1))
        huge = zlib.compress(b"\0" * (packing.MAX_VALUE_BYTES + 1))
        for name, data in (
            ("cut off", whole[:-9]),
            ("no data", b""),
            ("not compressed", msgpack.packb(LARGE)),
            ("too large", huge),
            ("no object", zlib.compress(msgpack.packb([1]))),
            ("a deletion", zlib.compress(msgpack.packb({}))),
        ):
            with self.subTest(name), self.assertRaises(MalformedMessage):
                packing.unpack(data)


if __name__ == "__main__":
    unittest.main()
