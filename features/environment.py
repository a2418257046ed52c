"""Hooks that run for every scenario."""


def after_scenario(context, scenario):
    """Kill the tasks of the scenario's cluster."""
    cluster = getattr(context, "cluster", None)
    if cluster is not None:
        cluster.close()
