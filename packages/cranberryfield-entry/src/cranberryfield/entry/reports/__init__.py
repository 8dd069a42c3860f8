"""Reports of load, demand and usage from relay hosts to the leader."""

from cranberryfield.entry.reports.collector import ReportCollector
from cranberryfield.entry.reports.reporter import HostReporter

__all__ = ["HostReporter", "ReportCollector"]
