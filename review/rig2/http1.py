"""A minimal HTTP/1.1 server on asyncio, for stand-ins."""

import asyncio
import json


class Message:
    """One request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def json(self):
        """Return the body as JSON; an empty one as an empty object."""
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Return the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif length := int(headers.get("content-length", 0)):
        body = await reader.readexactly(length)
    return Message(method, target, headers, body)


def answer(status, body=b"", headers=()):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value, headers=()):
    """Return the bytes of an answer with a JSON body."""
    data = json.dumps(value).encode()
    return answer(status, data, [("Content-Type", "application/json"), *headers])


async def serve(ip, port, handle):
    """Serve requests: `handle` returns the bytes of an answer, or None to hang up."""

    async def on_connection(reader, writer):
        try:
            while message := await read_message(reader):
                data = await handle(message)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port, backlog=256)
