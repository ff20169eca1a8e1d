"""A plain replica in a process of its own, whose answers have no length and end with their connection.

Arguments: host, instance, slots, milliseconds of work. Prints its port, and "began" when it begins to
run its first request. It writes the first half of an answer when the work begins and the second half when
it ends.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import harness as h

HOST, INSTANCE, SLOTS, WORK_S = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4]) / 1000


RUNS = []


def whole_body(request):
    return ("begin %s %s end" % (request, "x" * 2000)).encode()


async def serve(reader, writer, slots):
    try:
        head = await h.read_head(reader)
        if head is None:
            return
        line, headers = head
        await h.read_body(reader, headers)
        async with slots:
            if line.split(" ")[1] == "/health":
                writer.write(h.answer_bytes(200, headers={"X-Bluebellpond-Instance-Id": INSTANCE}))
                return
            request = headers.get("x-bluebellpond-request-id", "")
            own = "X-Bluebellpond-Request-Id: %s\r\n" % request
            if headers.get("x-bluebellpond-expect-instance") not in (None, INSTANCE):
                writer.write(h.answer_bytes(421))
                return
            body = whole_body(request)
            if not RUNS:
                print("began", flush=True)
            RUNS.append(request)
            writer.write(("HTTP/1.1 200 OK\r\n%sX-Bluebellpond-Response-Signature: s.%s\r\n"
                          "Connection: close\r\n\r\n" % (own, request)).encode())
            writer.write(body[: len(body) // 2])
            await writer.drain()
            await asyncio.sleep(WORK_S)
            writer.write(body[len(body) // 2 :])
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    slots = asyncio.Semaphore(SLOTS)
    server = await asyncio.start_server(lambda r, w: serve(r, w, slots), HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
