"""Admission control: runs, queues or refuses requests at this entry host."""

from cranberryfield.entry.admission.gate import AdmissionGate

__all__ = ["AdmissionGate"]
