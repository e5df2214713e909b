"""One liveness report of another writer takes the backend of a machine out for good."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab-3"))
import lab

FOLDER = os.path.dirname(os.path.abspath(__file__))
# With FOREIGN=0 the final fault comes alone.
FOREIGN = lab.TROUBLE and os.environ.get("FOREIGN", "1") != "0"
RECOVERY_S = lab.BOUNDS["recoveryS"]
ROUTES = [lab.route("r-stock", "/stock/", "idempotent", "desk"), lab.route("r-order", "/order/", "non_idempotent", "desk")]
SERVICES = [lab.service("desk")]


async def case(folder):
    installation = lab.Installation(folder, [("kent-yard", "desk")] * 3 + [("tivoli", "desk")] * 2)
    try:
        await installation.apply(1, ROUTES, SERVICES, lab.LIMITS)
        await installation.start()
        await installation.await_ready()
        await asyncio.sleep(4)

        async def traffic(length_s):
            """Requests at every machine in turn; returns the shares (served, sent)."""
            served = sent = 0
            until = installation.record.now() + length_s
            while installation.record.now() < until:
                for machine in installation.machines:
                    for method, path in (("GET", "/stock/"), ("POST", "/order/")):
                        _, status = await installation.send(machine, method, path + str(sent))
                        sent += 1
                        served += 1 if status == 200 else 0
                await asyncio.sleep(0.1)
            return served, sent

        before = await traffic(8)
        if lab.TROUBLE:
            installation.record.write("all processes are killed")
            for machine in installation.machines:
                installation.kill(machine)
            for machine in installation.machines:
                await machine["process"].wait()
            await asyncio.sleep(1)
            await asyncio.gather(*(installation.start_proxy(machine) for machine in installation.machines))
            await installation.await_ready()
        back = installation.record.now()
        installation.record.write("the machines are back")
        await traffic(4)
        if FOREIGN:
            for machine in installation.machines:
                backend = machine["backend"]
                body = backend.report(born=int(time.time() * 1000))
                body["info"] = {**body["info"], "service": "no-such-service"}
                body["status"] = {**body["status"], "sequence": 1}
                status = await backend.send_report("heartbeat", body, instance="i-other-writer")
                installation.record.write("report of another writer", machine=machine["name"], status=status)
        await traffic(max(0.0, back + RECOVERY_S + 0.5 - installation.record.now()))
        after = await traffic(20)
        print(f"served before the fault {before[0]} of {before[1]}; of those sent over {RECOVERY_S} s after the machines were back "
              f"{after[0]} of {after[1]}; a quarter has to be")
        installation.record.write("verdict", before=before, after=after)
        is_broken = before[0] * 4 >= before[1] and after[0] * 4 < after[1]
        return lab.BROKEN if is_broken else lab.HELD
    finally:
        await installation.stop()


lab.main(case, FOLDER)
