"""Packages import downwards only; what still runs upwards is listed here and may only get less (issue 18)."""

import grimp

LAYERS = (
    "__main__",
    "benchmarks",
    "platform_check",
    "simulation",
    "cli",
    "emulator",
    "gateway",
    "proxy",
    "power",
    "node",
    "alerts",
    "residency",
    "workers",
    "sessions",
    "leadership",
    "distribution",
    "membership",
    "replication",
    "consensus",
    "configuration",
    "tracing",
    "storage",
    "transport",
    "errors",
    "runtime",
)
UPWARDS = {
    ("alerts.alerts", "node.node"),
    ("cli.local_cluster_command", "simulation.oracle"),
    ("cli.local_cluster_command", "simulation.register"),
    ("residency.residency", "node.node"),
    ("workers.list_reader", "node.node"),
    ("workers.list_reader", "node.settings"),
    ("workers.list_reader", "node.timing_check"),
    ("workers.list_reader", "proxy.instance"),
    ("workers.list_reader", "proxy.instances"),
    ("workers.pool", "proxy.call"),
}


def package_of(module: str) -> str:
    return module.split(".")[1] if "." in module else ""


def upward_imports() -> set[tuple[str, str]]:
    graph = grimp.build_graph("aspencroft", cache_dir=None)
    rank = {name: place for place, name in enumerate(LAYERS)}
    found = set()
    for importer in graph.modules:
        if importer.endswith("_test") or importer == "aspencroft":
            continue
        for imported in graph.find_modules_directly_imported_by(importer):
            if rank[package_of(importer)] > rank[package_of(imported)]:
                found.add((importer.removeprefix("aspencroft."), imported.removeprefix("aspencroft.")))
    return found


def test_packages_import_downwards_only_but_for_what_is_listed():
    assert upward_imports() == UPWARDS
