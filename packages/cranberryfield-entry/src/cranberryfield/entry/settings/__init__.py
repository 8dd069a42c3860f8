"""Replication of committed settings from the control hosts to entry hosts."""

from cranberryfield.entry.settings.follower import SettingsFollower

__all__ = ["SettingsFollower"]
