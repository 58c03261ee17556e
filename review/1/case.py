"""A config sends a route to another service, then the balancers are stopped and started in turn."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from deployment import BOUNDS, Client, Deployment, main  # noqa: E402

ZONES = ["brno-a", "brno-b", "olomouc"]
OLD, NEW = "huvo11a", "wuno96b"
ROUTE = ("127.18.0.1", 8443)
OTHER = ("127.18.0.2", 8443)
FLOWS = 24


def deployment(record):
    sides = [(zone, OLD) for zone in ZONES] + [(zone, NEW) for zone in ZONES]
    return Deployment(ZONES, ZONES, sides, [OLD, NEW], record)


async def keep_asking(client):
    while not client.ended.is_set():
        if await client.request() is None:
            return
        await asyncio.sleep(0.4)


async def play(d, trouble):
    await d.start(d.config([("board", ROUTE, OLD), ("docs", OTHER, NEW)]))
    clients = [Client(d, ZONES[i % 3], ROUTE) for i in range(FLOWS)]
    opened = await asyncio.gather(*(client.open() for client in clients))
    if not all(opened):
        raise RuntimeError("not all flows opened before the disruption")
    tasks = [asyncio.create_task(keep_asking(client)) for client in clients]
    await asyncio.sleep(5.0)
    if trouble:
        d.put_config(d.config([("board", ROUTE, NEW), ("docs", OTHER, NEW)]), "the route moves")
    await asyncio.sleep(6.0)
    probe = Client(d, ZONES[0], ROUTE)
    answer = await probe.request() if await probe.open() else None
    d.note(f"a new flow is answered: {answer}")
    probe.close()
    resets = [client for client in clients if client.ended.is_set()]
    d.note(f"flows that ended before the processes are stopped: {len(resets)}")
    if trouble:
        for machine in d.fronts:
            await d.stop_process(machine)
            await asyncio.sleep(2.0)
    else:
        await asyncio.sleep(14.0)
    await asyncio.sleep(4.0)
    broken = 0
    for client in clients:
        holder = d.endpoint_of(client)
        age = time.monotonic() - client.opened_at
        d.note(f"flow {client.source[1]} answers={len(client.answers)} outcome={client.outcome} "
               f"open at {holder.identity if holder else 'none'}")
        if client.outcome == "reset by the system" and holder and age < BOUNDS["flow_ttl_s"]:
            broken += 1
    d.note(f"open flows that the system reset: {broken} of {FLOWS}")
    for task in tasks:
        task.cancel()
    d.log_lines(" reset ", "config: in force", limit=6)
    return broken > 0


main(sys.modules[__name__])
