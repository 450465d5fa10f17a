"""Strategies for documents that people or programs may write by mistake."""

from collections.abc import Iterator
from typing import Any

import yaml
from hypothesis import strategies as st

_DOCUMENT = """
version: 13
zones: [{name: veraval, number: 1, out: false}, {name: rajkot, number: 2, out: false}]
balancers:
  - {name: b-1, zone: rajkot, packets: "192.0.2.1:7000", control: "192.0.2.1:7001"}
services:
  - name: stock-ledger
    number: 1
    classes:
      - {name: read, method: GET, path: /a, target: {within: 300 ms, share: 0.5}}
      - {name: post, method: PUT, path: /b, target: {within: 2 s, share: 0.5},
         deadline: 30 s, run_once: true}
    backend_servers:
      - {name: s-1, zone: veraval, packets: "192.0.2.2:7000",
         control: "192.0.2.2:7001", slots: 5, connections: 20, out: false}
"""
# Values that fit into the place of one another.
_KINDS = (
    ("GET", "PUT"),
    ("/", "//", "/a", "/a/", "/b?c=1", "/\u0a95"),
    ("0 s", "300 ms", "2 s", "30 s", "2 h"),
    ("veraval", "rajkot"),
    ("192.0.2.1:7000", "192.0.2.1:7001", "192.0.2.2:7000", "192.0.2.2:7001"),
)
_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(0, 5000).map(lambda exponent: 10**exponent)
    | st.floats()
    | st.dates()
    | st.binary(max_size=8)
    | st.text(max_size=8)
    | st.sampled_from([value for kind in _KINDS for value in kind])
)
_VALUES = st.recursive(
    _SCALARS,
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=5) | st.integers(), values, max_size=3)
    ),
    max_leaves=6,
)


class _Dumper(yaml.SafeDumper):
    """Writes integers in hexadecimal, which has no limit on the number of digits."""

    def represent_int(self, data: int) -> yaml.ScalarNode:
        """Return the node of an integer."""
        return self.represent_scalar("tag:yaml.org,2002:int", hex(data))


_Dumper.add_representer(int, _Dumper.represent_int)


def texts() -> st.SearchStrategy[bytes]:
    """Return a strategy of files that needn't be YAML, nor text."""
    fragments = st.sampled_from(
        ["&a [*a]", "!!int one", "? 0x" + "f" * 5000, "---\n", "{", "[" * 2000, "\0"]
    )
    pieces = st.lists(fragments | st.text(max_size=20), max_size=5)
    return st.binary(max_size=60) | pieces.map(lambda each: "".join(each).encode())


def structures() -> st.SearchStrategy[bytes]:
    """Return a strategy of YAML files with any values."""
    return _VALUES.map(_dump)


@st.composite
def mutated_documents(draw: st.DrawFn) -> bytes:
    """Return a valid document with other values, of which up to one needn't fit."""
    content = yaml.safe_load(_DOCUMENT)
    for _ in range(draw(st.integers(0, 5))):
        container, key = draw(st.sampled_from(list(_places(content))))
        container[key] = draw(_fitting_values(container[key]))
    container, key = draw(st.sampled_from(list(_places(content))))
    match draw(st.sampled_from(["keep", "replace", "remove", "repeat"])):
        case "replace":
            container[key] = draw(_VALUES)
        case "remove":
            del container[key]
        case "repeat" if isinstance(container, list):
            container.append(container[key])
    return _dump(content)


def _places(content: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each mapping or list at any depth with each of its keys or indexes."""
    if isinstance(content, dict | list):
        keys = content if isinstance(content, dict) else range(len(content))
        for key in keys:
            yield content, key
            yield from _places(content[key])


def _fitting_values(value: Any) -> st.SearchStrategy[Any]:
    """Return a strategy of values that fit into the place of a value."""
    for kind in _KINDS:
        if value in kind:
            return st.sampled_from(kind)
    if isinstance(value, bool):
        return st.booleans()
    if isinstance(value, int):
        return st.integers(1, 30)
    return st.just(value)


def _dump(content: Any) -> bytes:
    """Return a value as YAML."""
    text = yaml.dump(content, Dumper=_Dumper, allow_unicode=True)
    return text.encode(errors="surrogatepass")
