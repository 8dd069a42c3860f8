"""Following the settings that the control hosts have committed."""

from cranberryfield.entry.settings.follower import SettingsFollower

__all__ = ["SettingsFollower"]
