"""Whose a call is, by its caller's API key, and whether an edge may say that something is not there."""

import dataclasses

from aspencroft.configuration import http_route, tenant
from aspencroft.errors import result
from aspencroft.node import node
from aspencroft.proxy import call
from aspencroft.runtime import clock

CONFIRMATION_AGE = clock.seconds(2)
"""How long ago an edge's configuration may have been confirmed for the edge to say what it does not hold."""
RETRY_AFTER = clock.seconds(0.3)


class CallerAccess:
    """Finds the tenant of each call in the configuration in force on this edge."""

    def __init__(self, own: node.Node):
        self.node = own

    def knows_newest_configuration(self) -> bool:
        """Whether what this edge's configuration does not hold surely is not there.

        An edge without any configuration cannot tell, nor one whose configuration was not confirmed lately: a newer
        one may have been acknowledged meanwhile.
        """
        relay = self.node.relay
        configured = bool(relay.configuration.version or relay.configuration.http_routes)
        return configured and (
            relay.root or clock.now() <= relay.lease_expires_at - relay.lease_duration + CONFIRMATION_AGE
        )

    def identify(self, one: call.Call, route: http_route.HttpRoute) -> call.Call:
        """The call with its tenant's name, which is empty where no keys are asked for or the route is public.

        Raises:
            RequestError: UNKNOWN_KEY where the route needs a key that no tenant holds, or NO_PLAN where one may hold it
                in a configuration that is newer than this edge's.

        """
        configuration = self.node.relay.configuration
        if not configuration.keys_required:
            return one
        holder = configuration.key_table.find(one.key_digest) if one.key_digest else None
        if holder is not None:
            return dataclasses.replace(one, tenant=holder.name)
        if route.public:
            return dataclasses.replace(one, tenant="")
        if not self.knows_newest_configuration():
            raise result.RequestError(
                result.ResultCode.NO_PLAN, detail="no such key here, but one may be", retry=RETRY_AFTER
            )
        raise result.RequestError(result.ResultCode.UNKNOWN_KEY)

    def tenant_of(self, one: call.Call) -> tenant.Tenant | None:
        """The tenant of a call that was identified, as the configuration in force has it now."""
        return self.node.relay.configuration.tenants.get(one.tenant) if one.tenant else None

    def check_unchanged(self, one: call.Call, route: http_route.HttpRoute) -> None:
        """Refuse a call on its way whose key was taken away since it was identified.

        Raises:
            RequestError: UNKNOWN_KEY, or PUT_BACK where the key is another tenant's now.

        """
        configuration = self.node.relay.configuration
        if not configuration.keys_required:
            return
        holder = configuration.key_table.find(one.key_digest) if one.key_digest else None
        if holder is not None and holder.name == one.tenant:
            return
        if self.identify(one, route).tenant != one.tenant:
            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the key changed hands", retry=RETRY_AFTER)
