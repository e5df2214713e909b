"""A backend that leaves while its first liveness report is held back gets requests again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab-3"))
import lab

FOLDER = os.path.dirname(os.path.abspath(__file__))
DRAIN_S = lab.BOUNDS["drainMs"] / 1000
# "It continues serving for `drainMs` after the acknowledgement and a little longer (at times many seconds)."
SERVES_S = DRAIN_S + 4
ROUTES = [lab.route("r-stock", "/stock/", "idempotent", "desk"), lab.route("r-order", "/order/", "non_idempotent", "desk")]
SERVICES = [lab.service("desk")]


async def case(folder):
    installation = lab.Installation(folder, [("kent-yard", "desk")] * 2 + [("tivoli", "desk")] * 2 + [("kent-yard", "desk")])
    machines, added = installation.machines[:4], installation.machines[4]
    backend = added["backend"]
    # The other backends are busy, so that a further one is welcome.
    for machine in installation.machines:
        machine["backend"].work_s = 0.15
    try:
        await installation.apply(1, ROUTES, SERVICES, lab.LIMITS)
        await installation.start(machines)
        await installation.await_ready(machines)
        await asyncio.sleep(4)
        ended = asyncio.Event()

        async def traffic():
            number = 0
            while not ended.is_set():
                machine = machines[number % len(machines)]
                method, path = (("GET", "/stock/"), ("POST", "/order/"))[number // len(machines) % 2]
                asyncio.ensure_future(installation.send(machine, method, path + str(number)))
                number += 1
                await asyncio.sleep(0.01)

        usual = asyncio.create_task(traffic())
        await asyncio.sleep(2)
        if lab.TROUBLE:
            installation.record.write("the store is silent")
            installation.store.silenced.update(machine["store_port"] for machine in installation.machines)
        await installation.store.listen(installation.store_ip, added["store_port"])
        await installation.start_proxy(added)
        await asyncio.sleep(3.5)
        # The backend starts, reports itself once, and leaves without having reported that it drains.
        await backend.start()
        await asyncio.sleep(0.8)
        backend.beats.cancel()
        status = await backend.send_report("deregister")
        acknowledged = installation.record.now()
        installation.record.write("deregister", backend=backend.id, status=status)
        if status != 200:
            raise RuntimeError(f"the leaving is not acknowledged: {status}")
        await asyncio.sleep(0.5)
        installation.store.silenced.clear()
        installation.record.write("the store answers again")
        await asyncio.sleep(SERVES_S - 0.5)
        ended.set()
        await usual
        await asyncio.sleep(1)
        late = [run for run in backend.runs if run[0] > acknowledged + DRAIN_S]
        print(f"{len(backend.runs)} requests reached the backend, {len(late)} of them over {DRAIN_S} s after the acknowledgement of its "
              "leaving; allowed 0")
        installation.record.write("verdict", reached=len(backend.runs), late=len(late))
        return lab.BROKEN if late else lab.HELD
    finally:
        await installation.stop()


lab.main(case, FOLDER)
