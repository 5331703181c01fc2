"""Fields of log events, with names in place of the balancer's ids and addresses of endpoints."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from load_balancer.config.gateway_config import NameTable
from load_balancer.decisions.settings_version import SettingsVersion
from load_balancer.gateway.request_tracker import PendingRequest


class LogFieldResolver:
    """A resolver of the balancer's ids in log fields to names and addresses.

    Attributes:
        names: Names of the settings in force.
    """

    def __init__(
        self,
        names: NameTable,
        settings_version: Callable[[], SettingsVersion],
        authority: Callable[[int], bytes],
    ) -> None:
        """Create the resolver.

        Args:
            names: Names of the settings in force.
            settings_version: Returns the version in force.
            authority: Returns the address of an endpoint by its id; empty if it is unknown.
        """
        self.names = names
        self._settings_version = settings_version
        self._authority = authority

    def resolve(self, fields: Iterable[tuple[str, object]]) -> dict[str, object]:
        """Return the fields with the names of class and tenant and with the endpoint's address."""
        resolved = dict(fields)
        version = self._settings_version()
        names = self.names
        tables = (
            ("request_class", version.class_ids, names.classes),
            ("tenant", version.tenant_ids, names.tenants),
        )
        for name, ids, id_names in tables:
            number = resolved.get(name)
            if isinstance(number, int) and id_names and number in ids:
                resolved[name] = id_names[ids.index(number)]
            elif not id_names:  # a deployment without tenants
                resolved.pop(name, None)
        endpoint_id = resolved.get("endpoint_id")
        if isinstance(endpoint_id, int) and (address := self._authority(endpoint_id)):
            resolved["address"] = address.decode()
        return resolved

    def for_request(self, request: PendingRequest, **fields: object) -> dict[str, object]:
        """Return the fields of a request, and further ones with the balancer's ids resolved."""
        return self.resolve((_request_fields(request.id, request) | fields).items())

    def for_subject(self, subject: object, pending: Mapping[str, PendingRequest]) -> dict[str, object]:
        """Return the fields of the request and the endpoint that an event or an action concerns, if known."""
        request_id = getattr(subject, "request_id", None)
        request = pending.get(request_id) if request_id is not None else None
        fields = {"request_id": request_id, "endpoint_id": getattr(subject, "endpoint_id", None)}
        fields |= _request_fields(request_id, request) if request is not None else {}
        return self.resolve((name, value) for name, value in fields.items() if value is not None)


def _request_fields(request_id: object, request: PendingRequest) -> dict[str, object]:
    names = request.names
    client_request = request.client_request
    fields: dict[str, object] = {
        "request_id": request_id,
        "client_request_id": client_request_id(request),
        "request_class": names.classes[client_request.request_class],
        "settings_version": request.settings_version.number,
    }
    if names.tenants:
        fields["tenant"] = names.tenants[client_request.tenant]
    return fields


def client_request_id(request: PendingRequest) -> str:
    """Return the id that the client gave a request."""
    return request.client_request.id.decode("latin-1")
