"""From an operator's JSON to settings: models of the file, reader, errors."""
