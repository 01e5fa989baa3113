"""Assembly of the program. Kept free of imports: `early_reload` runs before all else is loaded."""
