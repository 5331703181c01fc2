"""Changes that the operator makes to the settings during a simulated day."""

from __future__ import annotations

import copy
import random

from tests.transcript_simulation.days import REQUEST_CLASSES, TENANTS
from tests.transcript_simulation.wire import Json


def changed_settings(current: Json, rng: random.Random) -> Json:
    """Return a copy of the settings with one random change."""
    settings = copy.deepcopy(current)
    classes, change = settings["lanes"], rng.randrange(6)
    index = rng.randrange(len(classes))
    missing = [each for each in REQUEST_CLASSES if each["name"] not in {each["name"] for each in classes}]
    if change == 0:
        classes[index]["value"] = round(classes[index]["value"] * rng.uniform(0.5, 2.0), 3)
    elif change == 1 and missing:
        classes.insert(index, copy.deepcopy(rng.choice(missing)))
    elif change <= 2 and len(classes) > 3:
        del classes[index]
    elif change == 3:
        change_tenants(settings, rng)
    elif change == 4:
        settings.setdefault("prices", {})["crossZone"] = rng.choice((0.0, 0.02, 0.1))
    else:
        classes[index]["aimUs"] = int(classes[index]["aimUs"] * rng.uniform(0.8, 1.2))
    return settings


def change_tenants(settings: Json, rng: random.Random) -> None:
    """Change or remove one tenant, or remove all tenants, or restore them if there are none."""
    tenants = settings.get("tenants", [])
    draw = rng.random()
    if not tenants:
        settings["tenants"] = copy.deepcopy(TENANTS)
    elif draw < 0.6:
        rng.choice(tenants)["allowancePerS"] = float(rng.randrange(2, 30))
    elif draw < 0.8:
        del tenants[rng.randrange(len(tenants))]
    else:
        del settings["tenants"]
