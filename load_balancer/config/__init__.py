"""Reading of the configuration: models of the JSON file, conversion to settings, and errors."""
