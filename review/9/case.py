"""A proxy that restarts forgets that it has acknowledged a departure: a late liveness report brings the backend back."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lab-2"))
from lab2 import TROUBLE, Lab, call_once, configuration, route, run_case  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 1.5
# After the acknowledged departure.
KILL_AFTER_S = 0.3
RESTART_DELAY_S = 0.5
# The report was written just before the departure and arrives this long after it.
LATE_BY_S = 4.5
SERVES_FOR_S = 12.0
REQUESTS_PER_S = 40


async def requests(lab, proxies, until):
    """Requesters of the machines that nothing happens to."""
    count = 0
    tasks = set()

    async def one(proxy, identity):
        headers = {"Host": "shop.example", "Request-Id": identity, "Deadline-Ms": "2500"}
        lab.record.write("sent", request=identity, proxy=proxy.name)
        try:
            call = call_once(proxy.ports["callers"], "GET", "/orders/1", headers)
            end = (await asyncio.wait_for(call, 3)).status
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            end = "no answer"
        lab.record.write("answered", request=identity, end=end)

    while time.monotonic() < until:
        count += 1
        task = asyncio.create_task(one(proxies[count % len(proxies)], f"q{count}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def main():
    lab = Lab(__file__)
    try:
        for number in range(6):
            lab.add(f"order-desk-{number}", "order-desk", lab.zones[number % 3], work_s=0.1, heartbeat_s=HEARTBEAT_S)
        await lab.start(configuration(7, [route("r-orders", "/orders/", "order-desk", "idempotent", 2500, 600)]))
        await asyncio.sleep(CONTACT_S + 1)
        leaving, beside = lab.backends[0], lab.proxies[0]
        load = asyncio.create_task(requests(lab, lab.proxies[1:], time.monotonic() + 2 + SERVES_FOR_S))
        await asyncio.sleep(2)
        if not leaving.runs:
            raise RuntimeError("the backend gets no requests")

        leaving.stop_beats()
        late_report = leaving.beat_body()
        if await leaving.report("deregister") != 200:
            raise RuntimeError("the departure was not acknowledged")
        acknowledged_at = time.monotonic()
        restarted_at = None
        if TROUBLE:
            await asyncio.sleep(KILL_AFTER_S)
            beside.signal(signal.SIGKILL)
            beside.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            beside.start()
            restarted_at = time.monotonic()
            await lab.until_ready([beside])
        await asyncio.sleep(acknowledged_at + LATE_BY_S - time.monotonic())
        await leaving.report("heartbeat", late_report)
        await load

        # The machine beside the backend is in touch again a while after its start.
        late = [at for _, at in leaving.runs if at > acknowledged_at + DRAIN_S]
        in_touch = [at for at in late if restarted_at is None or at > restarted_at + CONTACT_S]
        print(f"requests at the backend later than {DRAIN_S} s after its departure was acknowledged: {len(late)},")
        print(f"from machines in touch: {len(in_touch)}", [round(at - acknowledged_at, 2) for at in in_touch[:5]])
        broken = len(in_touch) > 0
        print("DRAIN:", "broken" if broken else "held")
        return 1 if broken else 0
    finally:
        lab.stop()


run_case(main)
