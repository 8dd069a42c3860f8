"""Small stand-ins for what surrounds the system; never imported by packages/."""
