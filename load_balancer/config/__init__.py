"""Configuration: models of the JSON file, conversion to settings, comparison and errors."""
