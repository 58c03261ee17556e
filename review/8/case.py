"""A configuration whose version is the time of its change, as a number of 14 digits."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
from deployment import Client, Deployment, Endpoint, config, main  # noqa: E402

KEPT, DROPPED, ADDED = ("127.18.0.1", 8080), ("127.18.0.1", 8443), ("127.18.0.2", 8080)
FIRST = 7
# The next version, with the disruption and without it.
NEXT = {True: 20261207010203, False: 12}


def route(name, address):
    return {"name": name, "host": address[0], "path_prefix": f"/{address[1]}/", "service": "sales"}


async def play(record, trouble):
    deployment = Deployment(record)
    services = [{"name": "sales"}]
    first = config(FIRST, [route("kept", KEPT), route("dropped", DROPPED)], services)
    await deployment.start(first, 2, ["sales", "sales"])
    number = 10_000

    async def call(address, name):
        nonlocal number
        number += 1
        client = Client(deployment, number, address)
        record.write(f"client: {name}-{number} sent to {address}")
        result = await client.open()
        if result == "open":
            result = await client.request(f"{name}-{number}")
        client.close()
        result = "200" if " by " in result else result
        record.write(f"client: {name}-{number} answered: {result}")
        return result

    try:
        for machine in [m for m in deployment.machines.values() if m["role"] == "agent"]:
            await Endpoint(deployment, machine, machine["name"] + "-a").start()
        if not await deployment.wait_until_served(KEPT):
            return None
        for _ in range(3):
            await call(KEPT, "kept")
            await call(DROPPED, "dropped")
        version = NEXT[trouble]
        changed = config(version, [route("kept", KEPT), route("added", ADDED)], services)
        deployment.store.write("config", "main", {"spec": changed})
        acked = time.monotonic()
        record.write(f"config {version} acknowledged: {DROPPED} dropped, {ADDED} added")
        late = {"added": [], "dropped": [], "kept": []}
        bound = deployment.bounds["config_propagation_ms"] / 1000
        while time.monotonic() < acked + 15.0:
            for name, address in (("kept", KEPT), ("added", ADDED), ("dropped", DROPPED)):
                sent = time.monotonic()
                result = await call(address, name)
                if sent > acked + bound:
                    late[name].append(result)
            await asyncio.sleep(0.25)
        record.write(f"requests sent later than {bound:.0f} s after the ack: {late}")
        record.write(f"exits: {deployment.exits()}; forged {deployment.forged}")
        for name in deployment.machines:
            lines = [line for line in deployment.log(name).splitlines() if "config" in line]
            record.write(f"log of {name}, last line on the config: {lines[-1] if lines else None}")
        refused = sum(result == "reset" for result in late["added"])
        return refused > 0 or "200" in late["dropped"]
    finally:
        await deployment.stop()


if __name__ == "__main__":
    main(play)
