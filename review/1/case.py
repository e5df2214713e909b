"""One garbled answer of an upstream ends the process of the proxy beside it, and with it the orders of its callers."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import *  # noqa: E402,F403

CALLERS = 8
# The answer breaks off long before this length.
GARBLED_LENGTH = 4_000_000_000_000_000


async def case(lab):
    deployment = Deployment(lab, [("kent-yard", "drawings"), ("tivoli", "desk"), ("mallow", "desk")])
    await deployment.start(config(7, [route("r-orders", "/orders/", "desk", kind="non_idempotent", timeout_ms=3000, target_ms=1200),
                                      route("r-plans", "/plans/", "drawings", kind="download")], ["desk", "drawings"]))
    entry, garbling, sound = deployment.nodes[0], deployment.upstreams[0], deployment.upstreams[1:]

    async def garble(first, headers, body, writer, common):
        if not first.startswith("GET /plans/2") or not lab.trouble:
            return None
        await asyncio.sleep(0.05)
        writer.write(message("HTTP/1.1 200 OK", {**common, "Response-Signature": "x", "Content-Length": GARBLED_LENGTH}, b"x" * 700))
        await writer.drain()
        lab.record(f"{garbling.id} writes an answer that breaks off after 700 bytes, with Content-Length {GARBLED_LENGTH}")
        return False

    garbling.behave = garble
    # The garbled answer is then less than one in twenty of this upstream's.
    await expect_served(lab, entry.outbound, "/plans/1", 25)
    # Each caller keeps its connection, on which one order was answered already.
    callers = [Caller(lab, entry.outbound) for _ in range(CALLERS)]
    for number, caller in enumerate(callers):
        await caller.open()
        reply = await caller.call("POST", f"/orders/first-{number}", body=b"order")
        if reply.status != 200:
            raise RuntimeError("an order is not served in calm")
    for upstream in sound:
        upstream.work = lambda *request: (0.8, b"ok")
    orders = [asyncio.ensure_future(caller.call("POST", f"/orders/second-{number}", body=b"order", deadline_ms=3000))
              for number, caller in enumerate(callers)]
    await asyncio.sleep(0.3)
    plan = await call(lab, entry.outbound, "GET", "/plans/2")
    replies = await asyncio.gather(*orders)
    status = entry.process.poll()
    lab.record(f"the process of {entry.name} " + ("runs" if status is None else f"ended by itself, status {status}"))
    with open(entry.log, encoding="utf-8", errors="replace") as log:
        for line in log.read().splitlines()[-3:]:
            lab.record(f"log of {entry.name}: {line}")
    passed_on = {run[1] for upstream in sound for run in upstream.runs}
    lost = [reply for reply in replies if reply.error and reply.request in passed_on]
    lab.record(f"{len(lost)} of {CALLERS} orders on kept connections were passed on to sound upstreams and got no answer; "
               f"the download got {plan.status} {plan.error}")
    await deployment.stop()
    return len(lost) <= 3


main(case, os.path.dirname(os.path.abspath(__file__)))
