"""Keys of ``/status`` and names of metrics are an interface: they stay as they were at f1498d9.

``status_names.json`` holds, for one node of each kind, the tree of keys with the types of the values, and the
metrics with their labels, as that commit gave them. A key or metric may join; then it is added to the data by hand.
"""

import asyncio
import json
import pathlib
import re

import pytest

from aspencroft.simulation import guarantees

EXPECTED = json.loads(pathlib.Path(__file__).with_name("status_names.json").read_text())
GROUP_OR_ADDRESS = re.compile(r"\d+|[a-z]+-\d+:\d+")


def key_tree(value: object) -> object:
    """The keys of a document with the types of its values; keys that are groups or addresses count as one."""
    if isinstance(value, dict):
        return {"*" if GROUP_OR_ADDRESS.fullmatch(key) else key: key_tree(each) for key, each in value.items()}
    if isinstance(value, list):
        return [key_tree(value[0])] if value else []
    return type(value).__name__


@pytest.fixture(scope="module")
def shown() -> dict:
    """Status and metrics of one node of each kind, in a simulated cluster that has served some turns."""
    found: dict = {}

    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for number in range(4):
            await harness.ask(cluster.edges[0], "shopper", "x calls stock now", program=f"p{number}")
        await asyncio.sleep(3)
        for name in EXPECTED:
            node = cluster.nodes[name]
            metrics = {
                f"{one.name}{{{','.join(sorted(label.name for label in one.labels))}}}" for one in node.samples()
            }
            found[name] = {"status": key_tree(json.loads(json.dumps(node.status()))), "samples": sorted(metrics)}

    guarantees.play(41, scenario)
    return found


@pytest.mark.parametrize("name", sorted(EXPECTED))
@pytest.mark.parametrize("part", ["status", "samples"])
def test_status_keys_and_metric_names_are_those_of_earlier_versions(shown, name, part):
    assert shown[name][part] == EXPECTED[name][part]
