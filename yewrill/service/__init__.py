"""Assembly of the service. This file must not import anything: `early_signals` runs before other modules."""
