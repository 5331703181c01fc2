"""Changes of one tenant."""

from __future__ import annotations

import json
from pathlib import Path

from lab import fleet
from lab.changes import Document, changes


def test_equal_seeds_give_equal_changes_each_of_one_tenant(tmp_path: Path) -> None:
    one, same, other = (changes(seed, tenants=5, count=20) for seed in (1, 1, 2))
    assert one == same
    assert one != other
    assert one[:7] == changes(1, tenants=5, count=7)
    settings = fleet.settings(routes=2, tenants=5)
    document, path = Document({"name": "n0", "settings": settings}), tmp_path / "config.json"
    for before, change in zip([None, *one[:7]], one[:8], strict=True):
        document.apply(change)
        assert document.write(path) == path.stat().st_size
        found = json.loads(path.read_text())
        new = {tenant["name"] for tenant in found["settings"].pop("tenants")}
        new -= {tenant["name"] for tenant in settings["tenants"]}
        assert new == ({fleet.tenant_name(change.number)} if change.added else set())
        assert before is None or before.added != change.added
        assert found["settings"] == {k: v for k, v in settings.items() if k != "tenants"}
