"""The two deployments of today, as stand-ins: plans, workers and the mix of requests."""

import dataclasses
import random

ARCHIVE, TILLS = "archive", "tills"
GIGABYTE = 1_000_000_000


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request in the mix: its lane, its share, and how its programs behave."""

    lane: str
    share: int
    turns: int
    tools: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Shape:
    """A deployment: plan, services of model workers and plain workers, kinds of requests."""

    name: str
    document: dict
    model_workers: tuple[tuple[str, ...], ...]
    plain_workers: tuple[tuple[str, ...], ...]
    kinds: tuple[Kind, ...]

    def sizes(self) -> dict[str, int]:
        """Sizes of the models, by service."""
        return {name: spec["size"] for name, spec in self.document["services"].items() if spec["kind"] == "model"}


def model(size: int) -> dict:
    """A model service of so many gigabytes."""
    return {"kind": "model", "size": size * GIGABYTE}


def talk(services: list[str], urgency: int, keep: int) -> dict:
    """A lane of conversations."""
    return {
        "kind": "turns",
        "services": services,
        "urgency": urgency,
        "deadline": 20,
        "keep": keep,
        "budget": 400,
        "turn_output": 40,
    }


def signal(service: str, urgency: int, deadline: float) -> dict:
    """A lane of urgent signals, each to run once."""
    return {"kind": "signal", "services": [service], "urgency": urgency, "deadline": deadline, "keep": 60}


def shape_of(name: str) -> Shape:
    """One of the two deployments."""
    plain = {"kind": "plain"}
    if name == ARCHIVE:
        experts = ["planner", "cataloguer", "provenance", "vision", "reader"]
        document = {
            "services": {
                **{one: model(15) for one in experts},
                "notice": plain,
                "dome": plain,
                "images": plain,
            },
            "lanes": {
                "catalogue": talk(experts, 5, 900),
                "provenance": talk(experts, 5, 1800),
                "alert": signal("notice", 0, 5),
                "dome-hold": signal("dome", 0, 3),
                "thumbnail": {
                    "kind": "fetch",
                    "services": ["images"],
                    "urgency": 7,
                    "deadline": 10,
                    "keep": 60,
                },
            },
            "routes": {
                "catalogue-plan": {"lane": "catalogue", "services": ["planner"]},
                "catalogue-expert": {"lane": "catalogue", "tool": "cataloguer", "services": ["cataloguer"]},
                "catalogue-vision": {"lane": "catalogue", "tool": "vision", "services": ["vision"]},
                "provenance-plan": {"lane": "provenance", "services": ["planner"]},
                "provenance-expert": {"lane": "provenance", "tool": "provenance", "services": ["provenance"]},
                "provenance-reader": {"lane": "provenance", "tool": "reader", "services": ["reader"]},
            },
        }
        return Shape(
            name,
            document,
            (tuple(experts),) * 9,
            (("notice", "dome"), ("images",), ("notice", "images")),
            (
                Kind("catalogue", 40, 4, ("cataloguer", "vision")),
                Kind("provenance", 15, 8, ("provenance", "reader")),
                Kind("alert", 10, 0, ()),
                Kind("dome-hold", 5, 0, ()),
                Kind("thumbnail", 30, 0, ()),
            ),
        )
    experts = ["clerk", "stylist", "stock"]
    document = {
        "services": {
            **{one: model(20) for one in experts},
            "handset": plain,
            "lights": plain,
            "locks": plain,
        },
        "lanes": {
            "shopper": talk(experts, 5, 600),
            "supervisor": talk(experts, 3, 1800),
            "lane-light": signal("lights", 1, 3),
            "handset-alert": signal("handset", 0, 5),
            "till-lock": signal("locks", 0, 3),
        },
        "routes": {
            "shopper-clerk": {"lane": "shopper", "services": ["clerk"]},
            "shopper-style": {"lane": "shopper", "tool": "stylist", "services": ["stylist"]},
            "shopper-stock": {"lane": "shopper", "tool": "stock", "services": ["stock"]},
            "supervisor-clerk": {"lane": "supervisor", "services": ["clerk"]},
            "supervisor-stock": {"lane": "supervisor", "tool": "stock", "services": ["stock"]},
        },
    }
    return Shape(
        name,
        document,
        (tuple(experts),) * 5,
        (("handset", "lights"), ("locks",), ("handset", "locks")),
        (
            Kind("shopper", 45, 4, ("stylist", "stock")),
            Kind("supervisor", 15, 6, ("stock",)),
            Kind("lane-light", 15, 0, ()),
            Kind("handset-alert", 15, 0, ()),
            Kind("till-lock", 10, 0, ()),
        ),
    )


def draw_kind(shape: Shape, chance: random.Random) -> Kind:
    """A kind of request by the mix's shares."""
    return chance.choices(shape.kinds, [one.share for one in shape.kinds])[0]
