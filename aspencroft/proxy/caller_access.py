"""Identifies the tenant of a call by its API key, and tells whether an edge may answer that something is unknown."""

import dataclasses

from aspencroft.configuration import http_route, tenant
from aspencroft.errors import result
from aspencroft.node import node
from aspencroft.proxy import call
from aspencroft.runtime import clock

CONFIRMATION_AGE = clock.seconds(2)
"""Maximum age of the confirmation of an edge's configuration for the edge to report a route or key as unknown."""
RETRY_AFTER = clock.seconds(0.3)


class CallerAccess:
    """Finds the tenant of each call in the current configuration of this edge."""

    def __init__(self, own: node.Node):
        self.node = own

    def knows_newest_configuration(self) -> bool:
        """Whether something missing from this edge's configuration certainly does not exist.

        That is not known without a configuration, nor if it was not confirmed recently: a newer one may have been
        acknowledged in the meantime.
        """
        relay = self.node.relay
        configured = bool(relay.configuration.version or relay.configuration.http_routes)
        return configured and (
            relay.root or clock.now() <= relay.lease_expires_at - relay.lease_duration + CONFIRMATION_AGE
        )

    def identify(self, request: call.Call, route: http_route.HttpRoute) -> call.Call:
        """Return the call with its tenant's name, which is empty if no keys are required or the route is public.

        Raises:
            RequestError: UNKNOWN_KEY if the route requires a key and no tenant has this one, or NO_PLAN if a tenant may
                have it in a newer configuration than that of this edge.

        """
        configuration = self.node.relay.configuration
        if not configuration.keys_required:
            return request
        holder = configuration.key_table.find(request.key_digest) if request.key_digest else None
        if holder is not None:
            return dataclasses.replace(request, tenant=holder.name)
        if route.public:
            return dataclasses.replace(request, tenant="")
        if not self.knows_newest_configuration():
            raise result.RequestError(
                result.ResultCode.NO_PLAN,
                detail="no such key in the configuration of this edge, which may be outdated",
                retry=RETRY_AFTER,
            )
        raise result.RequestError(result.ResultCode.UNKNOWN_KEY)

    def tenant_of(self, request: call.Call) -> tenant.Tenant | None:
        """The tenant of an identified call, from the current configuration."""
        return self.node.relay.configuration.tenants.get(request.tenant) if request.tenant else None

    def check_unchanged(self, request: call.Call, route: http_route.HttpRoute) -> None:
        """Reject a call whose key was revoked or reassigned after it was identified.

        Raises:
            RequestError: UNKNOWN_KEY, or PUT_BACK if the key now belongs to another tenant.

        """
        configuration = self.node.relay.configuration
        if not configuration.keys_required:
            return
        holder = configuration.key_table.find(request.key_digest) if request.key_digest else None
        if holder is not None and holder.name == request.tenant:
            return
        if self.identify(request, route).tenant != request.tenant:
            raise result.RequestError(
                result.ResultCode.PUT_BACK, detail="the key now belongs to another tenant", retry=RETRY_AFTER
            )
