"""The world around a fleet: the platform's list and the back ends of a shape."""

import dataclasses
import random

import litestar

from aspencroft.emulator import backend, shape


@dataclasses.dataclass
class World:
    """All stand-in back ends of a deployment and the list that shows them."""

    shape: shape.Shape
    chance: random.Random
    faults: backend.Faults | None = None

    def __post_init__(self):
        sizes = self.shape.sizes()
        self.models = [
            backend.ModelWorker(f"model-{number}", services, sizes, self.chance, self.faults)
            for number, services in enumerate(self.shape.model_workers)
        ]
        self.plains = [
            backend.PlainWorker(f"plain-{number}", services, self.chance, self.faults)
            for number, services in enumerate(self.shape.plain_workers)
        ]
        self.addresses: dict[str, str] = {}
        self.leaving: set[str] = set()
        self.gone: set[str] = set()

    def workers(self) -> list:
        """All back ends."""
        return [*self.models, *self.plains]

    def rows(self) -> list[dict]:
        """The list as the platform shows it now."""
        return [
            one.row(f"http://{self.addresses[one.name]}", one.name in self.leaving)
            for one in self.workers()
            if one.name not in self.gone
        ]

    def platform(self) -> litestar.Litestar:
        """The platform's page."""

        @litestar.get("/api/workers", sync_to_thread=False)
        def workers() -> dict:
            return {"workers": self.rows()}

        return litestar.Litestar([workers], openapi_config=None, logging_config=None)

    def application(self, worker) -> litestar.Litestar:
        """A back end's pages."""
        return litestar.Litestar(worker.handlers(), openapi_config=None, logging_config=None)

    def put_out(self) -> dict[str, int]:
        """Tokens that back ends put out for each request."""
        found: dict[str, int] = {}
        for one in self.models:
            for request, count in one.put_out.items():
                found[request] = found.get(request, 0) + count
        return found

    def seen(self) -> list[dict]:
        """All that back ends were asked to run, each with the worker's name and the time."""
        return [{**body, "worker": one.name} for one in self.workers() for body in one.seen]

    def ran(self) -> dict[str, int]:
        """How often each request ran on any back end."""
        found: dict[str, int] = {}
        for one in self.workers():
            for request, count in one.ran.items():
                found[request] = found.get(request, 0) + count
        return found
