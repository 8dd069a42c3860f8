"""Following the settings that the control hosts have committed."""

from cranberryfield.entry.settings.follower import LocalControl, SettingsFollower

__all__ = ["LocalControl", "SettingsFollower"]
