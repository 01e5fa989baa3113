"""The calendar: reservations of slots for gangs in windows of time. See docs/calendar-design.md."""
