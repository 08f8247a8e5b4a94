"""The HTTP client: the responses that it accepts, and the errors that it raises for others."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import pytest

from tansyladder.net.http import HttpClient, HttpError, HttpStatusError, HttpTimeoutError

CONNECT_TIMEOUT = timedelta(seconds=5)
TIMEOUT = timedelta(seconds=5)


@contextmanager
def http_server(*responses: bytes) -> Iterator[tuple[HttpClient, list[bytes]]]:
    """Yield a client and the list of requests that its server has received.

    The server answers each request with the next response, and closes the connection after the last one.
    """
    requests: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            sock, _ = listener.accept()
            with sock:
                sock.settimeout(10)
                for response in responses:
                    requests.append(sock.recv(4096))
                    sock.sendall(response)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        client = HttpClient(listener.getsockname())
        yield client, requests
        client.close()
        thread.join(10)


def test_a_connection_serves_several_requests() -> None:
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
    with http_server(response + b"one", response + b"two") as (client, requests):
        assert client.get("/list", CONNECT_TIMEOUT, TIMEOUT) == b"one"
        assert client.get("/watch", CONNECT_TIMEOUT, TIMEOUT) == b"two"
    assert [request.split(b"\r\n")[0] for request in requests] == [
        b"GET /list HTTP/1.1",
        b"GET /watch HTTP/1.1",
    ]


def test_chunks_with_extensions_and_trailers_are_joined() -> None:
    chunks = b"4;name=value\r\nabcd\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n"
    with http_server(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" + chunks) as (client, _):
        assert client.get("/", CONNECT_TIMEOUT, TIMEOUT) == b"abcd0123456789"


def test_a_status_other_than_200_is_an_error_with_the_status() -> None:
    with http_server(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") as (client, _):
        with pytest.raises(HttpStatusError, match="expected HTTP status 200, got 503") as caught:
            client.get("/", CONNECT_TIMEOUT, TIMEOUT)
        assert caught.value.status == 503


@pytest.mark.parametrize(
    ("response", "message"),
    [
        (b"SSH-2.0\r\n\r\n", "expected an HTTP/1.x status line, got 'SSH-2.0'"),
        (b"HTTP/1.1 2000 OK\r\n\r\n", "expected an HTTP/1.x status line, got 'HTTP/1.1 2000 OK'"),
        (b"HTTP/1.1 200 OK\r\nno header\r\n\r\n", "expected a header NAME: VALUE, got 'no header'"),
        (b"HTTP/1.1 200 OK\r\n\r\n", "the response has neither a Content-Length nor chunked encoding"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "content-length: expected a number in base 10, got '-1'",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
            "expected at most 4194304 bytes of body, got a length of 99999999",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
            "closed the connection before the response was complete",
        ),
        (
            b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20_000,
            r"expected b'\\r\\n\\r\\n' within 16384 bytes, got [0-9]+ without it",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
            "chunk size: expected a number in base 16, got 'xyz'",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
            "a chunk without CRLF at its end, or more than 4194304 bytes of body",
        ),
    ],
)
def test_a_broken_response_is_an_error(response: bytes, message: str) -> None:
    with http_server(response) as (client, _), pytest.raises(HttpError, match=message):
        client.get("/", CONNECT_TIMEOUT, TIMEOUT)


def test_a_response_that_is_not_complete_in_time_is_a_timeout() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = HttpClient(listener.getsockname())
        with pytest.raises(HttpTimeoutError, match=r"no complete response from 127\.0\.0\.1:[0-9]+ in time"):
            client.get("/", CONNECT_TIMEOUT, timedelta(milliseconds=50))


def test_an_abort_from_another_thread_fails_the_current_call_and_every_later_one() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = HttpClient(listener.getsockname())
        timer = threading.Timer(0.1, client.abort)
        timer.start()
        with pytest.raises(HttpError, match="closed the connection before the response was complete"):
            client.get("/", CONNECT_TIMEOUT, TIMEOUT)
        with pytest.raises(HttpError, match="the HTTP client was aborted"):
            client.get("/", CONNECT_TIMEOUT, TIMEOUT)
        timer.join(10)
