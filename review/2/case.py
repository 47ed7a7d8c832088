"""A full server is cut off from the store for a moment, and its `Retry-After` is forgotten."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from lab import (  # noqa: E402
    MANIFEST, CannotRun, DeskServer, Fleet, Record, Requester, Store, count_in_rest, json, run_case,
)

ZONES = ["galway", "limerick", "sligo"]
SERVERS = 5  # one of them is cut off: `srv_cut` takes a share of .2
FULL_FROM_S = 5.0
FULL_S = 0.5
RETRY_AFTER_S = 20
CUT_S = 5.0  # `for_s` of `srv_cut`
INTERVAL_S = 0.05


async def main(folder, root, has_trouble):
    record = Record(folder)
    store = Store()
    listener = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    store.put("keyed.op", "config", json.dumps(MANIFEST).encode())
    servers = [DeskServer(f"i-{number}", ZONES[number % 3], store, record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    fleet = Fleet(root, ZONES, listener.sockets[0].getsockname()[1], record)
    try:
        fleet.start()
        await fleet.wait_until_ready()
        full = servers[0]
        start = record.now()
        full.retry_after, full.full_from, full.full_s = RETRY_AFTER_S, start + FULL_FROM_S, FULL_S
        end = full.full_from + FULL_S + RETRY_AFTER_S
        requesters = [Requester(zone, ip, INTERVAL_S, record) for zone, ip in fleet.ips.items()]
        runs = [asyncio.ensure_future(requester.run(end)) for requester in requesters]
        await asyncio.sleep(FULL_FROM_S + FULL_S)
        if has_trouble:
            record.write(f"{full.name} is cut off from the store")
            full.is_cut = True
            await asyncio.sleep(CUT_S)
            full.is_cut = False
            record.write(f"{full.name} reaches the store again")
        await asyncio.gather(*runs)
    finally:
        fleet.stop()
    statuses = {requester.zone: requester.statuses for requester in requesters}
    record.write(f"answers by host: {statuses}")
    if not full.refusals or any(sum(counts.values()) < 100 for counts in statuses.values()):
        raise CannotRun("the server was not asked while it was full, or hosts did not answer")
    is_broken = False
    for zone, (rests, late) in count_in_rest(full, ZONES).items():
        is_broken |= len(late) > 2
        first = f", the first at {late[0]:.3f}" if late else ""
        line = (
            f"{zone}: told {rests} times to stay away for {RETRY_AFTER_S} s; "
            f"{len(late)} requests reached {full.name} in that time{first}; 2 are allowed"
        )
        record.write(line)
        print(line)
    return is_broken


run_case(main)
