"""Valid and invalid configuration files, and functions that make and load them."""

from __future__ import annotations

import copy
import json
import tempfile
from pathlib import Path
from typing import Any

from load_balancer.config.file import MAX_CONFIG_BYTES, load_config, load_config_steps
from load_balancer.config.gateway_config import Config
from load_balancer.config.steps import run_to_completion
from tests.gateway.stub_discovery import endpoint_entry
from tests.gateway.test_process_start import INVALID_CONFIGURATIONS

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "example.json"
VALID = json.loads(EXAMPLE.read_text())
VALID["known"]["endpoints"] = [endpoint_entry("h0", "127.0.0.1:1")]
VALID["peers"] = ["127.0.0.1:2"]

TRUNCATED = EXAMPLE.read_bytes().partition(b'"multiplex"')[0]
INVALID_FILES: list[tuple[bytes, str]] = [
    (TRUNCATED, f"invalid JSON: unexpected end of input at byte {len(TRUNCATED)}, in settings.caps"),
    (b'{"seed": NaN}', "seed: expected a finite number, got NaN"),
    (b'{"settings": {}, "name": "\xff"}', "name: expected a string in UTF-8"),
    (b'{"seed": "\\ud800", "settings": {}}', "in seed; expected an object"),
    (b"\xff\xfe\x00" * 1000, "invalid JSON: invalid character at byte 0; expected an object"),
    (b"[" * 1_000_000, "invalid JSON: nested too deep; expected an object"),
    (b"[" * 5_000 + b"]" * 5_000, "invalid JSON: nested too deep; expected an object"),
    (b"{" * (MAX_CONFIG_BYTES + 1), f"is too large: expected at most {MAX_CONFIG_BYTES} bytes"),
    *((json.dumps(raw).encode(), message) for raw, message in INVALID_CONFIGURATIONS if raw != ""),
]
"""Contents of invalid files, each with a part of its error message."""


def load(text: str | bytes, previous: Config | None = None) -> Config:
    """Load a file with this content: as on a reload if `previous` is given, else as at a start."""
    with tempfile.NamedTemporaryFile() as file:
        file.write(text if isinstance(text, bytes) else text.encode("utf-8", "surrogatepass"))
        file.flush()
        environ = {"ROUTER_CONFIG": file.name}
        return run_to_completion(load_config_steps(environ, previous)) if previous else load_config(environ)


def with_tenants(count: int) -> dict[str, Any]:
    """Return the valid document with `count` tenants."""
    document: dict[str, Any] = copy.deepcopy(VALID)
    tenants = [{"name": f"t{index}", "allowancePerS": index} for index in range(count)]
    document["settings"]["tenants"] = tenants
    return document
