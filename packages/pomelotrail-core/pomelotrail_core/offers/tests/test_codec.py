"""Messages between processes of different versions."""

import unittest

import msgspec

from pomelotrail_core.offers import LookupReply, ShortLookupReply, decode, encode


class LookupReplyTest(unittest.TestCase):
    """Replies to lookups with and without accepted openings."""

    def test_reply_of_an_earlier_version(self) -> None:
        """It has no field for openings, like a reply without any."""
        reply = ShortLookupReply(7, (0,), (1, 2), 0, (2,))
        self.assertEqual(decode(encode(reply)), LookupReply(7, (0,), (1, 2), 0, (2,)))

    def test_field_of_a_later_version(self) -> None:
        """Fields that this version doesn't know are ignored."""
        reply = LookupReply(7, (0,), (1, 2), 0, (2,), (1,))
        fields = msgspec.msgpack.decode(encode(reply))
        later = msgspec.msgpack.encode([*fields, "later"])
        self.assertEqual(decode(later), reply)
