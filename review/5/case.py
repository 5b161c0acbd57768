"""A target's Retry-After is forgotten when the entry of its new boot arrives."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Fleet, answer, ask, request_bytes, route, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
CONTACT_S = 4.0
DOWN_S = 2.0
# After its start the target turns requests away for this time.
FULL_S = 1.0
RETRY_AFTER_S = 8.0
# The target writes its entry within a heartbeat (1.5 s) of its start.
ENTRY_AFTER_S = 1.2
ALLOWED_AFTER_S = 0.5
MAX_REQUESTS = 2
PER_S = 150


async def main(is_troubled):
    fleet = Fleet(FOLDER, 3, 2, [route("post", "non_idempotent")])
    record = fleet.record
    gateway_of = {}
    # Times at which a gateway was asked for quiet, by its name, and its arrivals.
    asked, arrivals = {}, {}
    full_until = 0.0
    restarting = None

    async def on_request(target, request, writer):
        if target is not restarting:
            return None
        now = time.monotonic()
        request_id = request.header("X-Request-Id")
        gateway = gateway_of[request_id]
        arrivals.setdefault(gateway, []).append(now)
        if now >= full_until:
            return None
        asked.setdefault(gateway, []).append(now)
        record.write("turns_away", target=target.name, id=request_id, gateway=gateway)
        return answer(
            503,
            X_Request_Id=request_id,
            X_Not_Executed="1",
            Retry_After=f"{RETRY_AFTER_S:.1f}",
        )

    try:
        assert await fleet.start(), "the gateways are not ready"
        for it in fleet.targets:
            it.on_request = on_request
        is_ended = False

        async def post(n, gateway):
            request_id = f"levy-{n}"
            gateway_of[request_id] = gateway.name
            got = await ask(gateway.ip, 8389, request_bytes(request_id, f"/post/{n}"))
            record.write("answer", id=request_id, gateway=gateway.name, status=got and got[0])

        async def post_levies():
            n = 0
            while not is_ended:
                n += 1
                fleet.tasks.append(
                    asyncio.create_task(post(n, fleet.gateways[n % len(fleet.gateways)]))
                )
                await asyncio.sleep(1 / PER_S)

        levies = asyncio.create_task(post_levies())
        await asyncio.sleep(CONTACT_S + 1)
        target = fleet.targets[0]
        if is_troubled:
            target.state = "gone"  # It sends no heartbeats.
            target.crash()
            record.write("crashes", target=target.name)
            await asyncio.sleep(DOWN_S)
        restarting = target
        full_until = time.monotonic() + FULL_S
        if is_troubled:
            await target.start()
            record.write("starts_again", target=target.name, born=target.born)
        await asyncio.sleep(ENTRY_AFTER_S)
        target.state = "ready"
        target.register()
        record.write("writes_entry", target=target.name)
        await asyncio.sleep(RETRY_AFTER_S + 1)
        is_ended = True
        await levies
        await asyncio.sleep(1)
    finally:
        fleet.stop()
    worst = 0
    for gateway, times in asked.items():
        for it in times:
            n = sum(it + ALLOWED_AFTER_S < at < it + RETRY_AFTER_S for at in arrivals[gateway])
            worst = max(worst, n)
    print(f"gateways that were asked for quiet: {len(asked)}")
    print(f"most requests of one of them in the quiet time: {worst} ({MAX_REQUESTS} allowed)")
    if not asked:
        return 2
    return 1 if worst > MAX_REQUESTS else 0


run_case(main)
