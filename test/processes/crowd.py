"""A crowd of clients that don't keep to the limits, as a process of its own.

usage: crowd.py FORM ADDRESS PORT CLIENTS

Opens CLIENTS connections and sends on each what FORM says, at most MAX_BYTES. Prints
`standing` when each connection is closed, has sent all or is no longer read by the
server. Keeps the open connections until its standard input ends.
"""

import asyncio
import itertools
import socket
import sys

MAX_BYTES = 16 << 20
BLOCK_BYTES = 64 << 10
CONNECT_TIMEOUT_S = 5.0
# A connection that takes nothing for this time is not read by the server.
STALL_S = 1.0
ANSWER_TIMEOUT_S = 3.0
# Pause between two bytes of a connection that sends byte by byte.
BYTE_INTERVAL_S = 0.5
# Limits of the configuration that the tests write.
MAX_BODY_BYTES = 4 << 20
MAX_HEADER_BYTES = 16384
RELAY_BODY_BYTES = 8 << 20
PEER_FRAME_BYTES = 1 << 20
PEER_NAME_BYTES = 250
HOST = "kepu3.example"
KEY = "tnfzs989anu6"
NAMES = itertools.count()


def head(method, path, *fields):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Request-Id: crowd",
        "X-Deadline-Ms: 60000",
        f"Authorization: Bearer {KEY}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(path="/once/x"):
    return head("POST", path, "Transfer-Encoding: chunked")


def chunks(total, size=BLOCK_BYTES):
    """Yields chunks with `total` bytes of body."""
    while total > 0:
        n = min(size, total)
        yield b"%x\r\n" % n + b"x" * n + b"\r\n"
        total -= n


def repeat(block):
    while True:
        yield block * max(1, BLOCK_BYTES // len(block))


def trailer_lines():
    yield chunked() + b"0\r\n"
    yield from repeat(b"X-Trailer: " + b"t" * 50 + b"\r\n")


def trailers_after_pieces():
    yield chunked() + b"3\r\nabc\r\n" * 20 + b"0\r\n"
    yield from repeat(b"X-Trailer: " + b"t" * 50 + b"\r\n")


def trailer_of_one_line():
    yield chunked() + b"0\r\nX-Trailer: "
    yield from repeat(b"t")


def chunk_extension():
    yield chunked() + b"3;name="
    yield from repeat(b"v")


def chunk_size_digits():
    yield chunked()
    yield from repeat(b"0")


def chunked_body_held():
    yield chunked()
    yield from chunks(MAX_BODY_BYTES - 1)


def body_of_known_length_held():
    yield head("POST", "/once/x", f"Content-Length: {MAX_BODY_BYTES}")
    yield b"x" * (MAX_BODY_BYTES - 1)


def body_without_route_held():
    yield chunked("/no-such-route/x")
    yield from chunks(MAX_BODY_BYTES - 1)


def relayed(*fields):
    """A request as another instance relays it."""
    return head(
        "POST", "/once/x", "Pollenway-Relay-Service: ledger-svc", "Pollenway-Relay-Attempts: 1",
        *fields,
    )


def relayed_chunked_body_held():
    yield relayed("Transfer-Encoding: chunked")
    yield from chunks(MAX_BODY_BYTES - 1)


def relayed_endless_body():
    yield relayed("Transfer-Encoding: chunked") + b"%x\r\n" % RELAY_BODY_BYTES
    yield from repeat(b"x")


def relayed_chunk_without_end():
    yield chunked() + b"%x\r\n" % RELAY_BODY_BYTES
    yield from repeat(b"x")


def many_fields_body_held():
    start = head("POST", "/once/x", "Content-Length: 10")[:-2]
    yield start + b"a:\r\n" * ((MAX_HEADER_BYTES - len(start) - 64) // 4) + b"\r\n"


def header_held():
    start = head("GET", "/safe/x")[:-2]
    yield start + b"a: " + b"v" * (MAX_HEADER_BYTES - len(start) - 64)


def large_answer_unread():
    yield head("GET", "/large/x")


def answers_unread():
    yield from repeat(head("GET", "/safe/x"))


def peer_frame_held():
    yield (PEER_FRAME_BYTES - 1).to_bytes(4, "big") + b"\xc1" * (PEER_FRAME_BYTES - 2)


def peer_names():
    """Messages between instances, each from a sender of another name: replies to a call
    that the gateway has not made."""
    while True:
        block = b""
        while len(block) < BLOCK_BYTES:
            name = b"edge-%d-" % next(NAMES)
            name += b"n" * (PEER_NAME_BYTES - len(name))
            # Version 1, kind 4, sender, incarnation 1, request, a reply, receiver 0, body.
            message = b"\x88\x00\x01\x01\x04\x02\xd9" + bytes([PEER_NAME_BYTES]) + name
            message += b"\x03\x01\x04\xcf\x40" + bytes(7) + b"\x05\xc3\x06\x00\x07\x91\x00"
            block += len(message).to_bytes(4, "big") + message
        yield block


def silent():
    yield b""


def answered_once():
    yield head("GET", "/safe/x")


def header_byte_by_byte():
    yield head("GET", "/safe/x")[:-2] + b"X-Slow: "


def body_byte_by_byte():
    yield head("POST", "/once/x", "Content-Length: 1000")


def long_body_byte_by_byte():
    yield head("POST", "/once/x", f"Content-Length: {1 << 20}")


FORMS = {
    it.__name__: it
    for it in (
        trailer_lines, trailers_after_pieces, trailer_of_one_line, chunk_extension,
        chunk_size_digits, chunked_body_held, body_of_known_length_held,
        body_without_route_held, relayed_chunk_without_end, many_fields_body_held,
        header_held, large_answer_unread, answers_unread, peer_frame_held, peer_names, silent,
        answered_once, relayed_chunked_body_held, relayed_endless_body, header_byte_by_byte, body_byte_by_byte,
        long_body_byte_by_byte,
    )
}


async def send(loop, sock, form):
    """Sends the blocks of a form until the connection takes no more."""
    sent = 0
    for block in FORMS[form]():
        while block and sent < MAX_BYTES:
            piece = block[:BLOCK_BYTES]
            try:
                await asyncio.wait_for(loop.sock_sendall(sock, piece), STALL_S)
            except asyncio.TimeoutError:
                return
            sent += len(piece)
            block = block[BLOCK_BYTES:]
        if sent >= MAX_BYTES:
            return


async def run_client(form, address, port, sockets):
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    if form.endswith("unread"):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    try:
        await asyncio.wait_for(loop.sock_connect(sock, (address, port)), CONNECT_TIMEOUT_S)
        await send(loop, sock, form)
        if form == "answered_once":
            await asyncio.wait_for(loop.sock_recv(sock, BLOCK_BYTES), ANSWER_TIMEOUT_S)
        sockets.append(sock)
    except (OSError, asyncio.TimeoutError):
        sock.close()


async def send_bytes(sock):
    """Sends one byte at a time until the connection is closed."""
    loop = asyncio.get_running_loop()
    try:
        while True:
            await loop.sock_sendall(sock, b"b")
            await asyncio.sleep(BYTE_INTERVAL_S)
    except OSError:
        pass


async def main():
    form, address, port, clients = sys.argv[1:]
    sockets = []
    await asyncio.gather(
        *(run_client(form, address, int(port), sockets) for _ in range(int(clients)))
    )
    senders = []
    if form.endswith("byte_by_byte"):
        senders = [asyncio.create_task(send_bytes(it)) for it in sockets]
    print(f"standing {len(sockets)}", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for it in senders:
        it.cancel()
    for it in sockets:
        it.close()


if __name__ == "__main__":
    asyncio.run(main())
