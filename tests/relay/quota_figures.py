"""Prints the figures of docs/design/quotas.md: `python quota_figures.py`."""

import asyncio
import sys
from pathlib import Path
from unittest import mock

sys.path.insert(0, str(Path(__file__).parents[1]))

from relay.quota_network import QuotaNetwork, allowed, largest_window, run_virtual

from mimosaloom_policy import Quota, QuotaBounds

BOUNDS = QuotaBounds()
ORGANISATIONS = 84
REQUESTS_PER_NODE_S = 24.0
# Usual demand of an organisation in relation to its quota.
DEMAND_RATIO = 0.62
WARM_UP_S = 8.0


def count_messages(per_domain, hot_ratio=1.0, duration_s=6.0):
    """Return questions a second within and between domains, and refusals within quota.

    Args:
        per_domain: Nodes in each of three failure domains.
        hot_ratio: Multiple of its usual demand that the largest organisation sends.
        duration_s: Length of the load.
    """
    load_per_s = 3 * per_domain * REQUESTS_PER_NODE_S
    weights = {f"o{i}": 1 / (i + 1) for i in range(ORGANISATIONS)}
    total = sum(weights.values())
    demands = {name: load_per_s * weight / total for name, weight in weights.items()}
    quotas = {name: Quota(demand / DEMAND_RATIO) for name, demand in demands.items()}
    network = QuotaNetwork(3, per_domain, quotas, BOUNDS)
    counts = {}

    async def run():
        network.start()
        await asyncio.sleep(WARM_UP_S)
        network.messages.clear()
        network.bytes = 0
        await asyncio.sleep(2)
        counts["claims/s"] = network.messages["within"] / 2
        network.messages.clear()
        network.bytes = 0
        async with asyncio.TaskGroup() as group:
            for name, demand in demands.items():
                ratio = hot_ratio if name == "o0" else 1.0
                group.create_task(
                    network.load(
                        name,
                        ratio * demand,
                        duration_s,
                        lambda: network.rng.choice(network.nodes),
                    )
                )
        passed_s = duration_s + 2
        claims = counts["claims/s"] * passed_s
        counts["questions/s"] = (network.messages["within"] - claims) / duration_s
        counts["between/s"] = network.messages["between"] / duration_s
        counts["body bytes/message"] = network.bytes / sum(network.messages.values())

    run_virtual(run())
    usual = [name for name in quotas if name != "o0" or hot_ratio == 1]
    counts["requests/s"] = load_per_s
    counts["refused"] = sum(len(network.refused[name]) for name in usual)
    return counts


def play_place(quota, demand_per_s, choose, duration_s=30.0):
    """Return the share of requests that ran and the largest window."""
    network = QuotaNetwork(3, 28, {"o": quota}, BOUNDS, seed=11)

    async def run():
        network.start()
        await asyncio.sleep(WARM_UP_S)
        time_s = asyncio.get_running_loop().time
        await network.load(
            "o", demand_per_s, duration_s, lambda: choose(network, time_s())
        )

    run_virtual(run())
    runs, refused = len(network.runs["o"]), len(network.refused["o"])
    window = largest_window(network.runs["o"], BOUNDS.window_s)
    return runs / (runs + refused), window / allowed(quota, BOUNDS)


def play_cuts(parts, majority=None, quota=Quota(100)):  # noqa: B008
    """Return the largest window, in relation to the bounds, while domains are cut.

    Args:
        parts: Parts into which the nodes are cut.
        majority: Answers that make a holder, in place of `choose_majority`.
        quota: Quota of the organisation, which sends five times its rate.
    """
    network = QuotaNetwork(3, 9, {"o": quota}, BOUNDS, seed=12)

    async def run():
        network.start()
        await asyncio.sleep(WARM_UP_S)
        choose = lambda: network.rng.choice(network.nodes)  # noqa: E731
        load = asyncio.ensure_future(
            network.load("o", 5 * quota.rate_per_s, 20, choose)
        )
        await asyncio.sleep(3)
        network.side = {node.name: node.port // 3 % parts for node in network.nodes}
        await load

    patched = "mimosaloom_policy.quota_holders.choose_majority"
    if majority is None:
        run_virtual(run())
    else:
        with mock.patch(patched, return_value=majority):
            run_virtual(run())
    largest = largest_window(network.runs["o"], BOUNDS.window_s)
    return largest / allowed(quota, BOUNDS)


PLACES = {
    "everywhere": lambda network, time_s: network.rng.choice(network.nodes),
    "one node": lambda network, time_s: network.nodes[3],
    "one domain": lambda network, time_s: network.rng.choice(network.nodes[::3]),
    "moves to another domain each second": lambda network, time_s: network.rng.choice(
        network.nodes[int(time_s) % 3 :: 3]
    ),
}


def main():
    """Print all figures."""
    for parts in (2, 3, 5):
        print("cut into", parts, "parts: largest window over the bounds:")
        print("  majority", round(play_cuts(parts), 3))
        print("  one answer is enough", round(play_cuts(parts, majority=1), 3))
    for quota in (Quota(5), Quota(50), Quota(900)):
        for place, choose in PLACES.items():
            share, _ = play_place(quota, DEMAND_RATIO * quota.rate_per_s, choose)
            _, window = play_place(quota, 4 * quota.rate_per_s, choose, 10.0)
            print(f"{quota.rate_per_s}/s {place}: {share:.4f} run, 4x: {window:.3f}")
    for per_domain, hot_ratio in ((5, 1), (28, 1), (28, 8), (65, 1), (65, 8)):
        counts = count_messages(per_domain, hot_ratio)
        shown = {name: round(value, 1) for name, value in counts.items()}
        print(3 * per_domain, "nodes, largest sends", hot_ratio, "times:", shown)


if __name__ == "__main__":
    main()
