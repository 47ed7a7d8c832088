"""Deposits on kept channels while servers are replaced by ones with a very long idle timeout."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import (FRONT, Lab, Server, manifest, read_message, request, route,  # noqa: E402
                  run_case)

FOLDER = os.path.dirname(os.path.abspath(__file__))
# `Keep-Alive` states the idle timeout in whole seconds; the new servers never close idle channels
# and state the largest number of seconds that 64 bits with a sign hold.
OLD_TIMEOUT_S, NEW_TIMEOUT_S = 15, 2**63 - 1
REQUESTERS, PAUSE_S = 8, 0.2
BEFORE_S, AFTER_S = 4.0, 10.0
# `release`: share = 0.45 of the four servers, rounded up, one at a time; `drain_ms` is 2,000.
REPLACED, GAP_S, DRAIN_S = 2, 1.0, 2.0


async def book(server, message, _reader, writer):
    attempt = message.headers["x-attempt-id"]
    server.lab.record.write(f"server {server.id} runs {attempt}")
    server.runs.append(attempt)
    await asyncio.sleep(0.015)
    keep_alive = f"Keep-Alive: timeout={server.idle_timeout_s}"
    writer.write(server.head(message, 2, extra=(keep_alive,)) + b"ok")
    await writer.drain()
    server.lab.record.write(f"server {server.id} has answered {attempt}")


async def requester(lab, host, results):
    """Sends deposits on one channel as long as it stays open, then on a new one."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(host.ip, FRONT)
        except OSError:
            await asyncio.sleep(PAUSE_S)
            continue
        answered = 0
        try:
            while True:
                attempt, data = request("POST", "/deposit/1", body=b"x" * 600, deadline_ms=1500)
                lab.record.write(f"requester sends {attempt} to {host.name}, "
                                 f"{answered} answers on its channel before")
                writer.write(data)
                answer = await asyncio.wait_for(read_message(reader), 2.0)
                status = answer.first.split(" ")[1]
                results.append((attempt, answered, status))
                lab.record.write(f"requester gets {status} to {attempt}")
                answered += 1
                if answer.headers.get("connection", "").lower() == "close":
                    break
                await asyncio.sleep(PAUSE_S)
        except (asyncio.IncompleteReadError, OSError) as error:
            empty = not getattr(error, "partial", b"")
            results.append((attempt, answered, "closed" if empty else "cut"))
            lab.record.write(f"requester: channel closed without an answer to {attempt}")
        except asyncio.TimeoutError:
            results.append((attempt, answered, "time limit"))
        finally:
            writer.close()
        await asyncio.sleep(PAUSE_S)


async def start_server(lab, zone, idle_timeout_s):
    server = Server(lab, lab.ip(), "ticket-desk", zone, book, slots=6)
    server.idle_timeout_s = idle_timeout_s
    lab.services.append(await server.start())
    return server


async def replace(lab, old, idle_timeout_s):
    """The new server starts first, the old one drains and then ends."""
    await start_server(lab, old.zone, idle_timeout_s)
    await asyncio.sleep(GAP_S)
    old.state = "draining"
    old.register()
    lab.record.write(f"server {old.id} drains")
    await asyncio.sleep(DRAIN_S + 1.0)
    old.beat.cancel()
    lab.store.put("keyed.servers", old.id, b"")
    await old.stop(reset=False)


async def main(lab, trouble):
    random.seed(7)
    routes = [route("deposit", "/deposit/", "ticket-desk", "non_idempotent", 800, 100, 1)]
    tenants = [{"name": "shop", "api_keys": ["key-1"]}]
    await lab.start_platform(manifest(1, routes, [("ticket-desk", {})], tenants))
    servers = [await start_server(lab, zone, OLD_TIMEOUT_S) for zone in lab.zones]
    await lab.start_hosts(3)
    results = []
    tasks = [asyncio.create_task(requester(lab, lab.hosts[number % 3], results))
             for number in range(REQUESTERS)]
    await asyncio.sleep(BEFORE_S)
    # Without the trouble the same release brings servers that state the old timeout.
    for old in servers[:REPLACED]:
        await replace(lab, old, NEW_TIMEOUT_S if trouble else OLD_TIMEOUT_S)
    await asyncio.sleep(AFTER_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    ran = {attempt for server in lab.services for attempt in server.runs}
    lost = [attempt for attempt, answered, status in results
            if status == "closed" and answered > 0 and attempt in ran]
    for attempt in lost:
        lab.record.write(f"LOST {attempt}: passed on from a kept channel, closed without an answer")
    panics = 0
    for host in lab.hosts:
        host.log.flush()
        with open(host.log.name, encoding="utf-8", errors="replace") as file:
            panics += file.read().count("panicked at")
    text = (f"{len(results)} deposits, {len(lost)} on kept channels ran and got no answer; "
            f"{panics} panics in the hosts' logs")
    lab.record.write(text)
    print(text)
    return len(lost) > 3


run_case(main, FOLDER)
