"""Changes of the settings that the operator makes during a day."""

from __future__ import annotations

import copy
import random

from tests.transcript_simulation.days import REQUEST_CLASSES, TENANTS
from tests.transcript_simulation.wire import Json


def changed_settings(current: Json, chance_source: random.Random) -> Json:
    """A copy of the settings with one random change."""
    settings = copy.deepcopy(current)
    classes, change = settings["lanes"], chance_source.randrange(6)
    index = chance_source.randrange(len(classes))
    missing = [each for each in REQUEST_CLASSES if each["name"] not in {each["name"] for each in classes}]
    if change == 0:
        classes[index]["value"] = round(classes[index]["value"] * chance_source.uniform(0.5, 2.0), 3)
    elif change == 1 and missing:
        classes.insert(index, copy.deepcopy(chance_source.choice(missing)))
    elif change <= 2 and len(classes) > 3:
        del classes[index]
    elif change == 3:
        change_tenants(settings, chance_source)
    elif change == 4:
        settings.setdefault("prices", {})["crossZone"] = chance_source.choice((0.0, 0.02, 0.1))
    else:
        classes[index]["aimUs"] = int(classes[index]["aimUs"] * chance_source.uniform(0.8, 1.2))
    return settings


def change_tenants(settings: Json, chance_source: random.Random) -> None:
    """A tenant changes or goes, or all do, or all come back."""
    tenants = settings.get("tenants", [])
    chance = chance_source.random()
    if not tenants:
        settings["tenants"] = copy.deepcopy(TENANTS)
    elif chance < 0.6:
        chance_source.choice(tenants)["allowancePerS"] = float(chance_source.randrange(2, 30))
    elif chance < 0.8:
        del tenants[chance_source.randrange(len(tenants))]
    else:
        del settings["tenants"]
