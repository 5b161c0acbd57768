"""Stand-ins for the platform's store and for targets, as HTTP servers."""

import asyncio
import itertools
import json
import time
from dataclasses import dataclass

from aiohttp import web

WATCH_POLL_S = 0.01
HOLD_POLL_S = 0.05


async def start_server(handler, host, port=0):
    """Starts a server with one handler for all paths; returns its runner and address."""
    app = web.Application(client_max_size=1 << 22)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, host, port, shutdown_timeout=0.1)
    await site.start()
    return runner, site._server.sockets[0].getsockname()


@dataclass
class Change:
    """A change of one object in the store."""

    at: float
    revision: int
    kind: str
    item: dict
    is_deleted: bool


class Store:
    """Stand-in for the platform's store: lists, watches and writes objects by kind."""

    def __init__(self):
        self.kinds = {}
        # All changes that the store has, oldest first. Watches get those after
        # `oldest_revision`.
        self.changes = []
        # Newest specs that the operator and the targets want to be stored, by
        # kind and name; None if the object is to be absent.
        self.wanted = {}
        # Rises by one with each restore.
        self.era = 1
        self.revision = 10
        self.oldest_revision = 10
        # Faults: the status of every answer (0: none), and lost answers to writes.
        self.status = 0
        self.lose_answers = False
        # True while the store is away before it returns from a copy.
        self.is_away = False

    def put(self, kind, name, spec):
        """Writes for the operator or a target; `spec` None removes the object.
        Returns true if the store has acknowledged the write. If the store is
        away, the write is done when it has returned."""
        self.wanted[kind, name] = spec
        if self.is_away:
            return False
        self._change(kind, name, spec)
        return True

    def _change(self, kind, name, spec):
        is_deleted = spec is None
        if is_deleted and name not in self.kinds.get(kind, {}):
            return
        self.revision += 1
        old = self.kinds.get(kind, {}).get(name, {})
        spec = old.get("spec") if is_deleted else spec
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.changes.append(Change(time.monotonic(), self.revision, kind, item, is_deleted))
        self._apply(self.changes[-1])

    def _apply(self, change):
        items = self.kinds.setdefault(change.kind, {})
        name = change.item["metadata"]["name"]
        if change.is_deleted:
            items.pop(name, None)
        else:
            items[name] = change.item

    def discard_history(self):
        self.oldest_revision = self.revision

    def restore(self, copied_at):
        """Returns to the state at `copied_at`. Later revisions are given out again.
        What the system wrote since is gone; returns the kinds and names whose
        wanted spec differs from the copy's."""
        self.changes = [it for it in self.changes if it.at <= copied_at]
        self.kinds = {}
        for it in self.changes:
            self._apply(it)
        self.revision = self.changes[-1].revision
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.era += 1
        return [it for it in self.wanted if self._spec(*it) != self.wanted[it]]

    def rewrite(self, kind, name):
        """Writes the wanted spec unless the store has it."""
        if self._spec(kind, name) != self.wanted[kind, name]:
            self._change(kind, name, self.wanted[kind, name])

    def _spec(self, kind, name):
        return self.kinds.get(kind, {}).get(name, {}).get("spec")

    async def handle(self, request):
        answer = None if self.is_away else await self._answer(request)
        if self.is_away or answer is None:
            if request.transport:
                request.transport.abort()
            return web.Response()
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer(self, request):
        parts = request.path.strip("/").split("/")
        body = await request.text()
        if self.status:
            return web.Response(status=self.status)
        if len(parts) < 2 or parts[0] != "objects":
            return web.Response(status=404)
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if request.method == "GET":
            if "watch" in request.query:
                return await self._watch(request, kind)
            return self._read(request, kind, name)
        answer = self._write(request.method, kind, name, json.loads(body or "{}"))
        return None if self.lose_answers else answer

    def _read(self, request, kind, name):
        items = self.kinds.get(kind, {})
        if name is not None:
            found = items.get(name)
            return web.json_response(found, status=200 if found else 404)
        return web.json_response(
            {
                "items": [items[it] for it in sorted(items)],
                "hasMore": False,
                "storeRevision": self.revision,
            }
        )

    async def _watch(self, request, kind):
        after = int(request.query["watch"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while not self.is_away:
            if self.status:
                return web.Response(status=self.status)
            if not self.oldest_revision <= after <= self.revision:
                return web.Response(status=410)
            new = itertools.takewhile(lambda it: it.revision > after, reversed(self.changes))
            events = [{"object": it.item, "deleted": it.is_deleted} for it in new if it.kind == kind]
            events.reverse()
            if events or time.monotonic() >= end:
                return web.json_response(
                    {"events": events, "storeRevision": self.revision}
                )
            await asyncio.sleep(WATCH_POLL_S)

    def _write(self, method, kind, name, body):
        name = name or body["metadata"]["name"]
        exists = name in self.kinds.get(kind, {})
        if method == "POST" and exists:
            return web.json_response(self.kinds[kind][name], status=409)
        if method in ("PUT", "DELETE") and not exists:
            return web.Response(status=404)
        if method == "DELETE":
            self._change(kind, name, None)
            return web.json_response({})
        self._change(kind, name, body.get("spec") or {})
        return web.json_response(self.kinds[kind][name])


@dataclass
class Arrival:
    """A request that has reached a target."""

    # Times of the first and the last moment of its run; None if there is none.
    started_at: float | None = None
    ended_at: float | None = None
    # True if the connection was closed while the target was at work on it.
    was_broken_off: bool = False


class Target:
    """Stand-in for a target: records each run and answers with text that
    identifies the request."""

    def __init__(self, name, runs, arrivals, work_s=0.03):
        self.name = name
        # List of (time, request id, target, headers), shared by all targets.
        self.runs = runs
        # Lists of arrivals by request id, shared by all targets.
        self.arrivals = arrivals
        # Requests on paths with this prefix are held, in the queue or at work,
        # with this probability and for a time in this range.
        self.hold_prefix = "/hold"
        self.hold_share = 0.0
        self.hold_range_s = (0.0, 0.0)
        self.work_s = work_s
        self.slow_factor = 1.0
        # Faults of the answers to requests that were run.
        self.lose_answers = False
        self.truncate = False
        self.fail_share = 0.0
        self.random = None
        # Name and start time of the present incarnation.
        self.incarnation = name
        # True if each answer announces that the target leaves.
        self.is_leaving = False
        # Until then, requests are turned away with the time that is left.
        self.quiet_until = 0.0
        # False to announce both with values that gateways can't read.
        self.is_readable = True
        # List of (time, request id, incarnation, end of the quiet time; None
        # while it leaves) of the requests that arrive after an announcement.
        self.announced = []

    async def handle(self, request):
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        headers = {"X-Request-Id": request_id, "X-Server-Load": "1,0,8"}
        if request.headers.get("X-Target-Instance", self.name) != self.name:
            return web.Response(status=421, headers={**headers, "X-Not-Executed": "1"})
        now = time.monotonic()
        if self.is_leaving:
            self.announced.append((now, request_id, self.incarnation, None))
            value = "1" if self.is_readable else "soon"
            headers.update({"Server-Leaving": value, "X-Instance-Id": self.incarnation})
        elif now < self.quiet_until:
            self.announced.append((now, request_id, self.incarnation, self.quiet_until))
            value = f"{self.quiet_until - now:.3f}" if self.is_readable else "soon"
            headers.update({"X-Not-Executed": "1", "Retry-After": value})
            return web.Response(status=503, headers=headers)
        arrival = Arrival()
        self.arrivals.setdefault(request_id, []).append(arrival)
        deadline = time.monotonic() + int(request.headers.get("X-Deadline-Ms", 60000)) / 1000
        queue_s, hold_s = self._choose_hold(request)
        if queue_s and not await self._hold(request, queue_s, deadline):
            return web.Response(status=503, headers={**headers, "X-Not-Executed": "1"})
        arrival.started_at = time.monotonic()
        self.runs.append((arrival.started_at, request_id, self.name, dict(request.headers)))
        await asyncio.sleep(self.work_s * self.slow_factor)
        in_time = not hold_s or await self._hold(request, hold_s, deadline)
        arrival.ended_at = time.monotonic()
        arrival.was_broken_off = request.transport is None
        headers["X-Server-Signature"] = "sig-" + request_id
        if not in_time:
            return web.Response(status=504, headers=headers)
        text = f"{request_id} {request.method} {request.path} {len(body)}"
        if self.lose_answers and request.transport:
            request.transport.abort()
        if self.truncate and request.transport:
            request.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\nX-Request-Id: "
                + request_id.encode()
                + b"\r\nX-Server-Signature: s\r\n\r\npart"
            )
            request.transport.close()
        failed = self.random is not None and self.random.random() < self.fail_share
        return web.Response(status=500 if failed else 200, headers=headers, text=text)

    def _choose_hold(self, request):
        """Returns the times in the queue and at work in which the request is held."""
        if not request.path.startswith(self.hold_prefix) or self.random.random() >= self.hold_share:
            return 0.0, 0.0
        seconds = self.random.uniform(*self.hold_range_s)
        return (seconds, 0.0) if self.random.random() < 0.5 else (0.0, seconds)

    async def _hold(self, request, seconds, deadline):
        """Waits for some seconds. Returns false if the deadline passes or the
        connection is closed before they are over."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if time.monotonic() >= deadline or request.transport is None:
                return False
            await asyncio.sleep(HOLD_POLL_S)
        return True
