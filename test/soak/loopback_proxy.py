"""A TCP proxy on a loopback address that injects faults into connections."""

import asyncio
import socket
import struct

CHUNK_BYTES = 16 * 1024


class LoopbackProxy:
    """Forwards connections to one upstream address.

    Faults apply to open and to new connections:
    delay_s       delay of each chunk, in seconds
    silent        no bytes are forwarded in either direction
    cut_upwards   no bytes are forwarded to the upstream; answers still are
    refuse        new connections are reset
    """

    def __init__(self, host, port, upstream):
        self.address = (host, port)
        self.upstream = upstream
        self.delay_s = 0.0
        self.silent = False
        self.cut_upwards = False
        self.refuse = False
        self._writers = set()
        self._tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()

    async def stop(self):
        self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def clear_faults(self):
        """Ends all faults. Resets connections that were silent, like a
        middlebox that has lost their state."""
        if self.silent or self.cut_upwards:
            self.reset_all()
        self.delay_s = 0.0
        self.silent = self.cut_upwards = self.refuse = False

    def reset_all(self):
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        if self.refuse:
            reset(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.upstream)
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, up_writer}
        tasks = [
            asyncio.create_task(self._pump(reader, up_writer, True)),
            asyncio.create_task(self._pump(up_reader, writer, False)),
        ]
        self._tasks |= set(tasks)
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks -= set(tasks)
        self._writers -= {writer, up_writer}
        for it in (writer, up_writer):
            it.close()

    async def _pump(self, reader, writer, is_upwards):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.silent or (is_upwards and self.cut_upwards):
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def reset(writer):
    """Closes a connection with a TCP reset instead of an orderly shutdown."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", 1, 0)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass  # Already closed.
    writer.transport.abort()
