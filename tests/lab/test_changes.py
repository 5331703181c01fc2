"""Seeded changes of one tenant, and the configuration files that contain them."""

from __future__ import annotations

import json
from pathlib import Path

from lab import fleet
from lab.changes import ConfigDocument, generate_changes


def test_equal_seeds_generate_equal_changes_of_one_tenant_each(tmp_path: Path) -> None:
    """Each change adds a tenant or removes the one just added, and leaves the rest of the file as it was."""
    first, repeated, other_seed = (generate_changes(seed, tenants=5, count=20) for seed in (1, 1, 2))
    assert first == repeated
    assert first != other_seed
    assert first[:7] == generate_changes(1, tenants=5, count=7)
    settings = fleet.settings(routes=2, tenants=5)
    document, path = ConfigDocument({"name": "n0", "settings": settings}), tmp_path / "config.json"
    for previous, change in zip([None, *first[:7]], first[:8], strict=True):
        document.apply(change)
        assert document.write(path) == path.stat().st_size
        written = json.loads(path.read_text())
        added_names = {tenant["name"] for tenant in written["settings"].pop("tenants")}
        added_names -= {tenant["name"] for tenant in settings["tenants"]}
        assert added_names == ({fleet.tenant_name(change.tenant_number)} if change.added else set())
        assert previous is None or previous.added != change.added
        assert written["settings"] == {key: value for key, value in settings.items() if key != "tenants"}
