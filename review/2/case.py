"""A version of the configuration changes a time-out to 90 s and moves a route. No proxy takes it."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import *  # noqa: E402,F403

CONFIG_APPLY = 2.0  # configApplyMs


def document(version, service, timeout_ms):
    return config(version, [route("r-orders", "/orders/", service),
                            route("r-plans", "/plans/", "drawings", kind="download", timeout_ms=timeout_ms)], ["desk", "drawings"])


async def case(lab):
    deployment = Deployment(lab, [("kent-yard", "desk"), ("tivoli", "drawings"), ("mallow", "desk")])
    await deployment.start(document(7, "desk", 2000))
    for node in deployment.nodes:
        await expect_served(lab, node.outbound, "/orders/1")
    # The disruption is the long time-out; without it, the same version has a shorter one.
    deployment.store.write_config(document(12, "drawings", 90000 if lab.trouble else 30000))
    acknowledged = lab.at()
    await asyncio.sleep(CONFIG_APPLY + 2)
    stale = []
    for _ in range(5):
        for node in deployment.nodes:
            sent_at = lab.at()
            reply = await call(lab, node.outbound, "GET", "/orders/2")
            ran_on = [upstream for upstream in deployment.upstreams if any(run[1] == reply.request for run in upstream.runs)]
            if sent_at > acknowledged + CONFIG_APPLY and any(upstream.service == "desk" for upstream in ran_on):
                stale.append(reply.request)
    for request in stale:
        lab.record(f"{request} was run by the service desk, which only r7 allows")
    for node in deployment.nodes:
        with open(node.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                if "ConfigurationRejected" in line:
                    lab.record(f"log of {node.name}: {line.strip()}")
    await deployment.stop()
    return not stale


main(case, os.path.dirname(os.path.abspath(__file__)))
