"""Adapter to the platform that hosts the fleet: its names, formats and calls.

Nothing here decides. What the platform calls machine, zone, tenant and back
end is instance, data centre, client account and upstream everywhere else.
"""
