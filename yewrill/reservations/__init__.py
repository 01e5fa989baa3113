"""Calendars: which gangs of slots are promised for which windows. See docs/calendar-design.md."""
