"""Settings in a launch message: all are converted, and an invalid one is reported by its JSON path."""

from __future__ import annotations

import json
import re

import pytest

from load_balancer.decisions.settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportMode,
    LoadReportSettings,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)
from load_balancer.simulator.codec import parse_settings
from load_balancer.simulator.errors import WireFormatError
from tests.simulator.script import SETTINGS, run_adapter

ONE_CLASS, DUPLICATE_TENANTS = '"lanes": [{"giveUpUs": 1}]', '{"name": "t"}, {"name": "t"}'


def test_settings_have_defaults_and_unknown_keys_are_ignored() -> None:
    settings = parse_settings(SETTINGS)
    assert settings.max_attempts == 4
    assert settings.gateways == 1
    assert [c.idempotency for c in settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.IDEMPOTENCY_KEY,
        Idempotency.NON_IDEMPOTENT,
    ]
    assert settings.classes[1].deduplication_scope is DeduplicationScope.GROUP
    assert settings.classes[1].deduplication_window_us == 150_000


def test_an_integral_float_and_a_flag_of_0_or_1_are_accepted() -> None:
    request_class = {"giveUpUs": 1000.0, "streamed": 1, "sequential": 0}
    settings = parse_settings(json.dumps({"lanes": [request_class], "caps": {"maxAttempts": 2.0}}))
    assert settings.classes == (RequestClass(1000, 1000, streamed=True),)
    assert settings.max_attempts == 2


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{}", "lanes: expected at least one request class, got none"),
        ("[]", "expected an object, got a list"),
        ("{", "invalid JSON: unexpected end of input"),
        ('{"lanes": [{"giveUpUs": 1}], "caps": {"peers": true', "in caps.peers; expected an object"),
        ('{"lanes": [{}]}', "lanes[0].giveUpUs: is missing; expected a number"),
        ('{"lanes": [5]}', "lanes[0]: expected an object, got an integer"),
        ('{"lanes": [{"giveUpUs": -1}]}', "lanes[0].giveUpUs: expected a number of at least 1"),
        ('{"lanes": [{"giveUpUs": 0}]}', "lanes[0].giveUpUs: expected a number of at least 1"),
        ('{"lanes": [{"giveUpUs": 1, "aimUs": 0}]}', "lanes[0].aimUs: expected a number of at least 1"),
        (
            f'{{{ONE_CLASS}, "contract": {{"warmAfterUs": -5}}}}',
            "contract.warmAfterUs: expected a number of at least",
        ),
        (
            f'{{{ONE_CLASS}, "caps": {{"maxAttempts": "four"}}}}',
            "caps.maxAttempts: expected a number, got a string",
        ),
        (
            f'{{{ONE_CLASS}, "caps": {{"probes": "yes"}}}}',
            "caps.probes: expected true or false, got a string",
        ),
        (f'{{{ONE_CLASS}, "prices": {{"waste": NaN}}}}', "prices.waste: expected a finite number, got NaN"),
        (
            f'{{{ONE_CLASS}, "prices": {{"waste": -Infinity}}}}',
            "prices.waste: expected a finite number, got -Inf",
        ),
        (f'{{{ONE_CLASS}, "prices": {{"waste": 1e999}}}}', "prices.waste: expected a number"),
        (
            f'{{{ONE_CLASS}, "tenants": [{{"fraction": 2}}]}}',
            "tenants[0].fraction: expected a number of at most",
        ),
        (
            f'{{{ONE_CLASS}, "tenants": [{DUPLICATE_TENANTS}]}}',
            "tenants[1].name: expected a unique name, got 't'",
        ),
        (f'{{{ONE_CLASS}, "zones": ["z", "z"]}}', "zones[1]: expected a unique name, got 'z'"),
        (
            f'{{{ONE_CLASS}, "zones": ["z"], "zone": 1}}',
            "zone: expected an index below the number of zones (1)",
        ),
        (
            f'{{{ONE_CLASS}, "balancers": 2, "index": 2}}',
            "index: expected an index below balancers (2), got 2",
        ),
        (
            f'{{{ONE_CLASS}, "report": {{"how": "odd"}}}}',
            "report.how: expected silent or piggyback or pull",
        ),
        (f'{{{ONE_CLASS}, "contract": 5}}', "contract: expected an object, got an integer"),
        ('{"lanes": 5}', "lanes: expected a list, got an integer"),
        ('{"lanes": [{"giveUpUs": 1, "effect": "odd"}]}', "lanes[0].effect: expected free or guarded or"),
    ],
)
def test_invalid_settings_are_reported_by_path(text: str, message: str) -> None:
    with pytest.raises(WireFormatError, match=re.escape(message)):
        parse_settings(text)
    replies, errors = run_adapter(
        "begin_batch simTimeUs=1", "instance i=gateway_0", f"launch prng=1 bootInfo={text}", "go"
    )
    assert replies == ["next"]
    assert "line 3" in errors
    assert message in errors
    assert "Traceback" not in errors


def test_every_setting_is_converted() -> None:
    document = {
        "balancers": 4,
        "index": 3,
        "zone": 1,
        "zones": ["a", "b"],
        "shapes": ["x", "y", "z"],
        "stage": 1,
        "tiers": ["t", "u"],
        "lanes": [
            {
                "aimUs": 5,
                "giveUpUs": 9,
                "sequential": True,
                "streamed": True,
                "aimStretch": 1.5,
                "effect": "guarded",
                "group": "zone",
                "windowUs": 7,
                "value": 4,
                "lateValue": 0.5,
                "name": "pay",
            }
        ],
        "objectiveMix": {"whole": 0.4, "worstClass": 0.1, "worstTenant": 0.3, "worstWindow": 0.2},
        "prices": {
            "crossZone": 0.1,
            "waste": 0.2,
            "lateFail": 0.3,
            "connection": 0.4,
            "handshake": 0.5,
            "probe": 0.6,
            "peer": 0.7,
            "membershipMode": 0.8,
            "origin": 0.9,
            "moves": 1.0,
            "fleet": 1.1,
        },
        "contract": {
            "fullUnproven": True,
            "keyQuietUs": 11,
            "stopSendingWithinUs": 12,
            "answerSlackUs": 13,
            "mustAskInUs": 14,
            "startCapacity": 0.5,
            "warmAfterUs": 15,
            "tipMultiple": 2,
            "fallUs": 16,
        },
        "caps": {
            "maxAttempts": 5,
            "mayCancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterUs": 17,
            "probes": True,
            "peers": True,
            "multiplex": 18,
            "connectTimeoutUs": 19,
            "keepaliveUs": 20,
            "mostHeld": 21,
            "cpuUsPerS": 22,
            "cpuUsPerRequest": 23,
        },
        "tenants": [{"allowancePerS": 24, "fraction": 0.25, "name": "north"}],
        "overShareWorth": 0.2,
        "report": {"how": "piggyback", "fields": ["queue"]},
        "clients": {"marksRetry": True},
        "familyInfo": {"warmKeys": True, "passesDeadline": True},
        "membershipMode": "on_request",
        "weights": "live",
        "worthBy": "work",
    }
    request_class = RequestClass(
        5, 9, 4.0, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 7, True, True, 1.5, "pay"
    )
    assert parse_settings(json.dumps(document)) == Settings(
        classes=(request_class,),
        objective=ObjectiveWeights(overall=0.4, worst_window=0.2, worst_class=0.1, worst_tenant=0.3),
        prices=Prices(0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1),
        weight_by_work=True,
        gateways=4,
        gateway_index=3,
        zone=1,
        zones=2,
        endpoint_kinds=3,
        tier=1,
        tiers=2,
        clients_mark_retries=True,
        max_attempts=5,
        may_hedge=True,
        load_dependent_weights=True,
        key_affinity=True,
        endpoints_propagate_deadlines=True,
        endpoints_are_pushed=False,
        max_poll_interval_us=14,
        max_retry_after_us=17,
        slow_start_capacity=0.5,
        slow_start_us=15,
        overload_multiple=2.0,
        overload_window_us=16,
        rejected_may_have_run=True,
        ordered_key_delay_us=11,
        drain_grace_us=12,
        answer_slack_us=13,
        tenants=(Tenant(24.0, 0.25, "north"),),
        over_quota_weight_share=0.2,
        load_reports=LoadReportSettings(LoadReportMode.RESPONSES, ("queue",)),
        may_check_health=True,
        may_message_peers=True,
        requests_per_connection=18,
        connect_timeout_us=19,
        idle_connection_timeout_us=20,
        max_open_requests=21,
        cpu_us_per_s=22.0,
        cpu_us_per_request=23.0,
    )
