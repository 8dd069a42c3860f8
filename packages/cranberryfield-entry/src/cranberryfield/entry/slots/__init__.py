"""Slots of services with fewer slots than relays, which relays share."""

from cranberryfield.entry.slots.client import SlotClient
from cranberryfield.entry.slots.owner import SlotOwnerSection
from cranberryfield.entry.slots.relay_slots import RelaySlots
from cranberryfield.entry.slots.server import SlotServer

__all__ = ["RelaySlots", "SlotClient", "SlotOwnerSection", "SlotServer"]
