"""Settings of a process: YAML files validated by a schema when loaded."""

from .errors import SettingsError
from .loader import load_settings
from .validators import duration, endpoint, hex_key

__all__ = ["SettingsError", "duration", "endpoint", "hex_key", "load_settings"]
