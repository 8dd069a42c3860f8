"""Decides which accepted requests run now, wait, or are refused."""

from cranberryfield.entry.admission.gate import AdmissionGate

__all__ = ["AdmissionGate"]
