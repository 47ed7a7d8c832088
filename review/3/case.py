"""A refusal with `Retry-After` follows a late extra answer on its connection and is never read."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from lab import (  # noqa: E402
    MANIFEST, CannotRun, DeskServer, Fleet, Record, Requester, Store, count_in_rest, json, message,
    read_message, run_case,
)

ZONES = ["galway", "limerick", "sligo"]
SERVERS = 4
SPOILING = 2  # servers that write extra answers: `garble` takes a share of .5, of .6 at most
FULL_FROM_S = 5.0
RETRY_AFTER_S = 10
INTERVAL_S = 0.05


class ExtraServer(DeskServer):
    """Server that refuses one request of each host with `Retry-After`, from `full_from` on.

    With trouble it writes its last answer on that connection once more before the first refusal.
    """

    has_trouble = True

    async def serve(self, reader, writer):
        last = None
        try:
            while True:
                _line, headers, _body = await read_message(reader)
                attempt = headers.get("x-attempt-id", "")
                zone = attempt.partition("-")[0]
                now = self.record.now()
                self.arrivals.append((now, attempt))
                answer_headers = [("X-Attempt-Id", attempt), ("X-Server-Load", "1,0,6")]
                refused = {at.partition("-")[0] for _time, at in self.refusals}
                is_due = self.full_from is not None and now >= self.full_from
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected", answer_headers))
                elif is_due and last is not None and zone not in refused:
                    if self.has_trouble and not self.refusals:
                        self.record.write(f"{self.name} writes an extra answer before {attempt}")
                        writer.write(last)
                    answer_headers += [("X-Not-Executed", "1"), ("Retry-After", self.retry_after)]
                    writer.write(message("HTTP/1.1 503 Full", answer_headers))
                    self.refusals.append((now, attempt))
                    self.record.write(f"{self.name} answers {attempt} 503, Retry-After: {self.retry_after}")
                else:
                    self.record.write(f"{self.name} runs {attempt}")
                    await asyncio.sleep(0.01)
                    answer_headers.append(("X-Server-Stamp", f"{self.name}.{attempt}"))
                    last = message("HTTP/1.1 200 OK", answer_headers, b"ok")
                    writer.write(last)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def main(folder, root, has_trouble):
    record = Record(folder)
    store = Store()
    listener = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    store.put("keyed.op", "config", json.dumps(MANIFEST).encode())
    servers = [ExtraServer(f"i-{number}", ZONES[number % 3], store, record) for number in range(SERVERS)]
    for number, server in enumerate(servers):
        server.has_trouble = has_trouble and number < SPOILING
        await server.start()
    fleet = Fleet(root, ZONES, listener.sockets[0].getsockname()[1], record)
    try:
        fleet.start()
        await fleet.wait_until_ready()
        start = record.now()
        for server in servers:
            server.retry_after, server.full_from = RETRY_AFTER_S, start + FULL_FROM_S
        end = start + FULL_FROM_S + RETRY_AFTER_S
        requesters = [Requester(zone, ip, INTERVAL_S, record) for zone, ip in fleet.ips.items()]
        runs = [asyncio.ensure_future(requester.run(end)) for requester in requesters]
        await asyncio.gather(*runs)
    finally:
        fleet.stop()
    statuses = {requester.zone: requester.statuses for requester in requesters}
    record.write(f"answers by host: {statuses}")
    if not all(server.refusals for server in servers) or any(sum(counts.values()) < 100 for counts in statuses.values()):
        raise CannotRun("the server was not asked while it was full, or hosts did not answer")
    is_broken = False
    for server in servers:
        for zone, (rests, late) in count_in_rest(server, ZONES).items():
            is_broken |= len(late) > 2
            line = (
                f"{zone}: told {rests} times by {server.name} to stay away for {RETRY_AFTER_S} s; "
                f"{len(late)} requests reached it in that time; 2 are allowed"
            )
            record.write(line)
            print(line)
    return is_broken


run_case(main)
