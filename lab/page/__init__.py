"""One self-contained HTML page on what `lab run` has written: tables, and plots as inline SVG."""
