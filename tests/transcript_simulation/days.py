"""The simulated days of the decision transcripts: seeds, traffic, settings and fleets."""

from __future__ import annotations

from dataclasses import dataclass

from tests.transcript_simulation.wire import SECOND_US, Json

TRAFFIC_END_US = 40 * SECOND_US  # the start of the pause in a day's traffic
TRAFFIC_PAUSE_US = 63 * SECOND_US  # longer than outcomes count in a closed breaker
RESUMED_TRAFFIC_US = 6 * SECOND_US  # the duration of the traffic after the pause


def request_class(name: str, objective_ms: int, **settings: object) -> Json:
    """Return a request class as on the wire; the client's timeout is five times the latency objective."""
    return {"name": name, "aimUs": objective_ms * 1000, "giveUpUs": objective_ms * 5000, **settings}


REQUEST_CLASSES: list[Json] = [
    request_class("read", 300, effect="free", value=1.0, lateValue=0.3),
    request_class("search", 500, effect="free", value=2.0),
    request_class(
        "order", 400, effect="guarded", group="all", windowUs=5 * SECOND_US, value=3.0, lateValue=0.2
    ),
    request_class(
        "stock", 350, effect="guarded", group="zone", windowUs=2 * SECOND_US, value=1.5, lateValue=0.5
    ),
    request_class("cart", 300, effect="guarded", group="cell", windowUs=SECOND_US, value=1.2, lateValue=0.4),
    request_class("stale", 300, effect="guarded", group="zone", windowUs=20_000, value=0.7, lateValue=0.8),
    request_class("pay", 600, effect="single_shot", value=5.0, lateValue=0.1),
    request_class("ledger", 400, effect="single_shot", sequential=1, value=2.5, lateValue=0.5),
    request_class("feed", 400, effect="free", sequential=1, value=0.8, lateValue=0.6),
    request_class("stream", 800, effect="free", streamed=1, value=1.1, lateValue=0.7),
]
TENANTS: list[Json] = [
    {"name": "acme", "allowancePerS": 40.0, "fraction": 0.5},
    {"name": "globex", "allowancePerS": 6.0, "fraction": 0.2},
    {"name": "initech"},
]
FIELDS = ["queue", "eps", "latency_ms"]


@dataclass(frozen=True)
class Day:
    """A simulated day: its seed, its traffic, its settings and its fleet.

    Attributes:
        rates_per_s: Rates of first tries, each for an equal part of the time before the pause; the last one
            holds after it too.
        has_tenants: Whether the settings have tenants and the requests name them.
        has_few_faults: Whether an endpoint's mode changes once a second instead of twice.
        outage_at_us: When all endpoints begin to refuse connections.
        rare_class: A request class with requests in the first second only.
    """

    name: str
    seed: int
    endpoints: int
    request_classes: tuple[str, ...]
    settings: Json
    rates_per_s: tuple[float, ...]
    has_tenants: bool = True
    has_few_faults: bool = False
    outage_at_us: int | None = None
    rare_class: str = ""


def class_names(names: str) -> tuple[str, ...]:
    """Return the names of request classes in a text with spaces between them."""
    return tuple(names.split())


DAYS = (
    Day(
        name="copies",
        seed=42,
        endpoints=9,
        request_classes=class_names("read search order stock cart stale pay stream"),
        settings={
            "caps": {"mayCancel": 1, "secondCopies": 1, "retryAfter": 1, "maxAttempts": 4},
            "prices": {"crossZone": 0.05},
            "familyInfo": {"warmKeys": 1},
            "report": {"how": "piggyback", "fields": FIELDS},
            "balancers": 2,
            "overShareWorth": 0.3,
            "contract": {"startCapacity": 0.2, "warmAfterUs": 8 * SECOND_US, "tipMultiple": 1.5},
        },
        rates_per_s=(15, 40, 130, 25, 90, 20),
    ),
    Day(
        name="requested",
        seed=35,
        endpoints=8,
        request_classes=class_names("read search order stock cart pay ledger feed stream stale"),
        settings={
            "caps": {"mayCancel": 1, "retryAfter": 1, "maxRetryAfterUs": 700_000, "maxAttempts": 3},
            "weights": "live",
            "membershipMode": "on_request",
            "worthBy": "work",
            "balancers": 3,
            "index": 1,
            "objectiveMix": {"whole": 0.6, "worstWindow": 0.1, "worstClass": 0.3},
            "clients": {"marksRetry": 1},
            "contract": {"mustAskInUs": 4 * SECOND_US, "fullUnproven": 1, "keyQuietUs": 150_000},
        },
        rates_per_s=(20, 60, 140, 30, 100, 15),
        rare_class="search",
    ),
    Day(
        name="moves",
        seed=43,
        endpoints=4,
        request_classes=class_names("read order stock cart ledger feed pay"),
        settings={
            "caps": {"mayCancel": 1, "retryAfter": 1, "maxAttempts": 3},
            "report": {"how": "piggyback", "fields": FIELDS},
            "contract": {
                "startCapacity": 0.1,
                "warmAfterUs": 15 * SECOND_US,
                "tipMultiple": 2.0,
                "keyQuietUs": 0,
            },
            "clients": {"marksRetry": 1},
            "zone": 1,
        },
        rates_per_s=(15, 30, 45, 20, 80, 25),
        has_tenants=False,
        outage_at_us=13 * SECOND_US,
    ),
    Day(
        name="churn",
        seed=43,
        endpoints=75,
        request_classes=class_names("read search order pay ledger stream"),
        settings={
            "caps": {"mayCancel": 0, "retryAfter": 0, "maxAttempts": 5},
            "prices": {"crossZone": 0.01},
            "balancers": 8,
            "index": 5,
            "contract": {"startCapacity": 0.3, "warmAfterUs": 5 * SECOND_US, "keyQuietUs": 80_000},
            "objectiveMix": {"whole": 0.5, "worstClass": 0.5},
        },
        rates_per_s=(20, 50, 60, 20, 70, 20),
        has_few_faults=True,
    ),
)
