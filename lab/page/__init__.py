"""One self-contained HTML page on the results of `lab run`: tables, and plots as inline SVG."""
