"""Text format of flow keys for logs."""

from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES, unpack_address


def flow_text(flow: bytes) -> str:
    """Return a flow key as ``caller>service address`` for logs."""
    caller = unpack_address(flow[:PACKED_ENDPOINT_BYTES])
    service = unpack_address(flow[PACKED_ENDPOINT_BYTES:])
    return f"{caller[0]}:{caller[1]}>{service[0]}:{service[1]}"
