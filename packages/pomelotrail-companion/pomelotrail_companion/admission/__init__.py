"""Decides how much work the backend server gets, and in which order."""

from .gate import AdmissionGate

__all__ = ["AdmissionGate"]
