"""Follows the settings that the control group commits."""

from cranberryfield.entry.settings.follower import SettingsFollower

__all__ = ["SettingsFollower"]
