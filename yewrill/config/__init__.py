"""Configuration: reads and checks the configuration file, holds its defaults, and generates new files."""
