"""Short process identifiers, used in suspicion reports and views."""

import xxhash


def process_id(name: str) -> int:
    """Return the 64-bit hash of the name of a process."""
    return xxhash.xxh3_64_intdigest(name.encode())
