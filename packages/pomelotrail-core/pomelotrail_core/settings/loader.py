"""Loads a YAML file and validates it with a schema."""

import difflib
from pathlib import Path
from typing import Any, Final

import voluptuous as vol
import yaml
from result import Err, Ok, Result

from .errors import SettingsError
from .validators import SecretInvalid, short_repr

# What the YAML library raises, besides its own errors, for a value that does not have
# the form of its type, such as the date 2020-13-45 or the number !!int one.
_CONSTRUCTOR_ERRORS: Final = (
    ValueError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def load_settings(path: Path, schema: vol.Schema) -> Result[Any, SettingsError]:
    """Load ``path`` and return the validated document."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem, remedy = f"can't be read ({error})", "give the path of a YAML file"
        return Err(SettingsError(str(path), "", problem, remedy))
    return parse_document(text, schema, str(path))


def parse_document(
    text: str, schema: vol.Schema, source: str
) -> Result[Any, SettingsError]:
    """Validate a YAML text; the error has the key, the value and the remedy."""
    try:
        document = yaml.load(text, Loader=yaml.CSafeLoader)
    except (yaml.YAMLError, *_CONSTRUCTOR_ERRORS) as error:
        problem, remedy = f"is not YAML: {error}", "correct the syntax"
        return Err(SettingsError(source, "", problem, remedy))
    try:
        return Ok(schema(document))
    except vol.MultipleInvalid as error:
        return Err(_describe(error.errors[0], document, schema, source))


def _describe(
    error: vol.Invalid, document: Any, schema: vol.Schema, source: str
) -> SettingsError:
    """Convert a schema error to a settings error with the remedy."""
    key = ".".join(_key_text(part) for part in error.path)
    value = _value_at(document, error.path)
    if error.error_message == "extra keys not allowed":
        remedy = _unknown_key_remedy(error, schema)
        return SettingsError(source, key, "is not known", remedy)
    if error.error_message == "required key not provided":
        return SettingsError(source, key, "is missing", "add it")
    # Messages of the project's own validators end with the remedy.
    message = error.error_message
    problem, separator, remedy = message.rpartition("; ")
    if not separator:
        problem, remedy = message, ""
    is_secret = isinstance(error, SecretInvalid)
    text = short_repr(value)
    if value is not None and text not in message and not is_secret:
        problem = f"{problem}, not {text}"
    return SettingsError(source, key, problem, remedy)


def _key_text(key: Any) -> str:
    """Return a key for an error message; a number may be too long to be written."""
    return short_repr(key) if isinstance(key, int) else str(key)


def _value_at(document: Any, path: list[Any]) -> Any:
    """Return the value at a path, or None."""
    for part in path:
        try:
            document = document[getattr(part, "schema", part)]
        except (KeyError, IndexError, TypeError):
            return None
    return document


def _unknown_key_remedy(error: vol.Invalid, schema: vol.Schema) -> str:
    """Return the remedy for an unknown key, with the allowed keys."""
    allowed = _allowed_keys(schema.schema, error.path[:-1])
    if not allowed:
        return "remove it"
    close = difflib.get_close_matches(_key_text(error.path[-1]), allowed, n=1)
    hint = f"did you mean {close[0]!r}? " if close else ""
    return f"{hint}Allowed here: {', '.join(allowed)}"


def _allowed_keys(schema: Any, path: list[Any]) -> list[str]:
    """Return the keys that the schema allows at a path."""
    for part in path:
        schema = getattr(schema, "schema", schema)
        if isinstance(schema, list):
            schema = schema[0]
            continue
        if not isinstance(schema, dict):
            return []
        schema = next((sub for key, sub in schema.items() if str(key) == str(part)), {})
    schema = getattr(schema, "schema", schema)
    if not isinstance(schema, dict):
        return []
    return sorted(str(key) for key in schema)
