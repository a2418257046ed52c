"""The public names of the package."""

import unittest

import persimmonspoke


class TestPublicFace(unittest.TestCase):
    def test_every_public_name_can_be_imported(self):
        for name in persimmonspoke.__all__:
            self.assertTrue(hasattr(persimmonspoke, name), name)

    def test_other_names_raise_an_attribute_error(self):
        with self.assertRaisesRegex(AttributeError, "no public name lease"):
            persimmonspoke.lease  # noqa: B018 - the access is the test.
