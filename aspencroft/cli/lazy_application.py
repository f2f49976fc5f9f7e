"""An ASGI application that is loaded with the first request: most processes of a fleet are never asked."""

import asyncio
import collections.abc


class LazyApplication:
    """Builds an application when it is first needed, once, off the event loop."""

    def __init__(self, build: collections.abc.Callable[[], collections.abc.Callable]):
        self.build = build
        self.application: collections.abc.Callable | None = None
        self.building = asyncio.Lock()

    async def __call__(self, scope: dict, receive: collections.abc.Callable, send: collections.abc.Callable) -> None:
        """Answer a request, after the application was built if this is the first one."""
        application = self.application or await self.load()
        await application(scope, receive, send)

    async def load(self) -> collections.abc.Callable:
        """Build the application, unless another request has done so meanwhile, and return it."""
        async with self.building:
            if self.application is None:
                self.application = await asyncio.to_thread(self.build)
            return self.application
