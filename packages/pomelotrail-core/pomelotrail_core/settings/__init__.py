"""Settings of a process: YAML files checked by a schema at the edge."""

from .errors import SettingsError
from .loader import load_settings
from .validators import duration, endpoint, hex_key

__all__ = ["SettingsError", "duration", "endpoint", "hex_key", "load_settings"]
