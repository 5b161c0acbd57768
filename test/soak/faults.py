"""Faults that the soak injects from outside the programs, one function each.

A function takes the fleet, and returns when the fault has ended. `PLANNED`
faults are what operators do on a good day: they excuse nothing but their own
bounds.
"""

import asyncio
import signal
import time


async def store_down(fleet):
    fleet.store_harmed()
    fleet.store.status = fleet.random.choice([429, 503])
    await asyncio.sleep(fleet.random.uniform(0.5, 4))
    fleet.store.status = 0
    fleet.store_harmed()


async def store_loses_answers(fleet):
    fleet.store_harmed()
    fleet.store.lose_answers = True
    await asyncio.sleep(fleet.random.uniform(0.5, 3))
    fleet.store.lose_answers = False
    fleet.store_harmed()


async def store_forgets_history(fleet):
    fleet.store_harmed()
    fleet.store.drop_history()


async def store_link(fleet):
    """The store is out of reach of some gateways only."""
    harmed = fleet.random.sample(fleet.gateways, fleet.random.randint(1, 3))
    seconds = fleet.random.uniform(0.5, 5)
    fault = fleet.random.choice(["silent", "cut_upwards", "refuse", "reset"])
    for it in harmed:
        it.disturb(seconds)
        if fault in ("refuse", "reset"):
            it.store_proxy.reset_all()
        if fault != "reset":
            setattr(it.store_proxy, fault, True)
    await asyncio.sleep(seconds)
    for it in harmed:
        it.store_proxy.heal()
        it.disturb(0)


async def target_link(fleet):
    target = fleet.random.choice(fleet.targets)
    proxy = fleet.target_proxies[target.name]
    fault = fleet.random.choice(["silent", "cut_upwards", "refuse", "delay", "reset"])
    if fault == "delay":
        proxy.delay_s = 0.3
    elif fault == "reset":
        proxy.reset_all()
    else:
        setattr(proxy, fault, True)
    await asyncio.sleep(fleet.random.uniform(0.5, 4))
    proxy.heal()


async def target_misbehaves(fleet):
    target = fleet.random.choice(fleet.targets)
    fault, usual, harmed = fleet.random.choice(
        [
            ("lose_answers", False, True),
            ("truncate", False, True),
            ("fail_share", 0.0, 0.5),
            ("slow_factor", 1.0, 20.0),
        ]
    )
    setattr(target, fault, harmed)
    await asyncio.sleep(fleet.random.uniform(0.5, 4))
    setattr(target, fault, usual)


async def gateway_paused(fleet):
    gateway = fleet.random.choice(fleet.gateways)
    if gateway.stopping_since or gateway.is_paused:
        return
    seconds = fleet.random.uniform(0.3, 4)
    process = gateway.process
    gateway.is_paused = True
    gateway.disturb(seconds)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    if gateway.process is process:
        gateway.send(signal.SIGCONT)
        gateway.is_paused = False


async def gateways_killed(fleet):
    count = fleet.random.choice([1, 1, 2, len(fleet.gateways)])
    killed = fleet.random.sample(fleet.gateways, count)
    down_s = fleet.random.uniform(0.1, 2)
    for it in killed:
        it.disturb(down_s)
        it.kill()
    await asyncio.sleep(down_s)
    for it in killed:
        it.start()


async def gateways_restarted(fleet):
    """SIGTERM in turn; the next may come before the last is back."""
    for it in fleet.random.sample(fleet.gateways, fleet.random.randint(1, 3)):
        if it.stopping_since or it.is_paused or not it.is_running():
            continue
        asyncio.create_task(restart(fleet, it))
        await asyncio.sleep(fleet.random.uniform(0.5, 3))


async def restart(fleet, gateway):
    process = gateway.process
    was_calm = fleet.is_calm()
    ended = await gateway.stop_gracefully()
    if was_calm and fleet.is_calm() and not ended:
        fleet.broken("LOST", f"{gateway.name} did not end within its grace")
    if gateway.process is process:
        gateway.start()


async def settings_reloaded(fleet):
    for it in fleet.gateways:
        it.send(signal.SIGHUP)


async def target_drained(fleet):
    """A target leaves, and comes back later."""
    target = fleet.random.choice(fleet.targets)
    fleet.register(target, "draining")
    await asyncio.sleep(fleet.random.uniform(4, 7))
    fleet.register(target)


async def key_replaced(fleet):
    """Withdraws the key in use and issues another one."""
    fleet.key_number += 1
    old = fleet.keys["dairy"][-1]
    fleet.keys["dairy"] = [f"key-dairy-{fleet.key_number}"]
    fleet.withdrawn_at[old] = time.monotonic()
    fleet.write_configuration()


async def route_added(fleet):
    """Configurations in quick succession."""
    for _ in range(fleet.random.randint(1, 4)):
        fleet.routes[f"r{fleet.version}"] = "idempotent"
        fleet.write_configuration()
        await asyncio.sleep(0.1)


PLANNED = [gateways_restarted, settings_reloaded, target_drained, key_replaced, route_added]
UNPLANNED = [
    store_down,
    store_loses_answers,
    store_forgets_history,
    store_link,
    target_link,
    target_misbehaves,
    gateway_paused,
    gateways_killed,
]
