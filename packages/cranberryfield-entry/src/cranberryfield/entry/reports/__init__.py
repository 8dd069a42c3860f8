"""Reports of relay hosts to the leader: load, demand and usage."""

from cranberryfield.entry.reports.collector import ReportCollector
from cranberryfield.entry.reports.reporter import HostReporter

__all__ = ["HostReporter", "ReportCollector"]
