"""Deposits before a grey server that runs them and then answers a bare 503."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import FRONT, Lab, Server, ask, manifest, request, response, route, run_case  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
PROMISES = ("408", "421", "429", "503")
LOAD_S, PER_S = 12.0, 20.0
# As on day `trouble-1` of corrib-bench.toml: all servers of the service fail 0.45 of their requests
# for 4 s.
GREY_PART, GREY_FROM_S, GREY_TO_S = 0.45, 4.0, 8.0


async def book(server, message, _reader, writer):
    """Runs a deposit; a grey server answers a part of them 503 afterwards."""
    attempt = message.headers["x-attempt-id"]
    server.lab.record.write(f"server {server.id} runs {attempt} for {message.headers['x-order']}")
    server.runs.append((attempt, message.headers["x-order"]))
    await asyncio.sleep(0.015)
    if server.lab.is_grey and random.random() < GREY_PART:
        # No `X-Not-Executed`: the response doesn't state that the request did not run.
        headers = [("X-Attempt-Id", attempt), ("X-Server-Stamp", server.id)]
        writer.write(response(503, b"failed", headers))
    else:
        writer.write(server.head(message, 2) + b"ok")
    await writer.drain()


async def deposit(lab, order, answers):
    """Sends a deposit, and once more after a promise that it has not run and never will."""
    for _ in range(2):
        host = random.choice(lab.hosts)
        attempt, data = request("POST", "/deposit/1", [("X-Order", order)], b"x" * 600,
                                deadline_ms=1500)
        lab.record.write(f"requester sends {attempt} for {order} to {host.name}")
        try:
            answer = await ask(host.ip, FRONT, data, 3.0)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            lab.record.write(f"requester gets no answer to {attempt}: {type(error).__name__}")
            return
        status = answer.first.split(" ")[1]
        answers[attempt] = (order, status)
        lab.record.write(f"requester gets {status} to {attempt}")
        if status not in PROMISES:
            return


async def main(lab, trouble):
    random.seed(6)
    lab.is_grey = False
    desk = [("ticket-desk", {})]
    routes = [route("deposit", "/deposit/", "ticket-desk", "non_idempotent", 800, 100, 1)]
    await lab.start_platform(manifest(1, routes, desk, [{"name": "shop", "api_keys": ["key-1"]}]))
    for zone in lab.zones:
        server = Server(lab, lab.ip(), "ticket-desk", zone, book, slots=6)
        lab.services.append(await server.start())
    await lab.start_hosts(3)
    answers, tasks = {}, []
    for number in range(int(LOAD_S * PER_S)):
        was_grey = lab.is_grey
        lab.is_grey = trouble and GREY_FROM_S <= number / PER_S < GREY_TO_S
        if lab.is_grey != was_grey:
            lab.record.write(f"servers are grey: {lab.is_grey}")
        tasks.append(asyncio.create_task(deposit(lab, f"order-{number}", answers)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    runs = [run for server in lab.services for run in server.runs]
    ran = {attempt for attempt, _ in runs}
    broken = [attempt for attempt, (_, status) in answers.items()
              if status in PROMISES and attempt in ran]
    booked = [order for _, order in runs]
    twice = {order for order in booked if booked.count(order) > 1}
    for attempt in broken:
        lab.record.write(f"REFUSED {attempt} was answered {answers[attempt][1]} and has run")
    text = (f"{len(answers)} deposits answered, {len(broken)} of them refused as not run though "
            f"they ran; {len(twice)} orders booked twice")
    lab.record.write(text)
    print(text)
    return bool(broken)


run_case(main, FOLDER)
