"""Guards against an unavailable or malformed host list that stops the poller."""

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from redwingswitch._internal.exceptions import DecodeError, HostListUnavailableError
from redwingswitch._internal.models.events import ListedHost
from redwingswitch._internal.network.host_list_http import HttpHostList
from tests.lib.loops import run

HOSTS = [ListedHost("entry-1", False), ListedHost("entry-2", True)]


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, '[{"host": "entry-1", "new": 1}, {"host": "entry-2", "leaving": true}]', HOSTS),
        (200, "[]", []),
        (200, '[{"leaving": true}]', DecodeError),
        (200, "{", DecodeError),
        (503, "", HostListUnavailableError),
        (None, "", HostListUnavailableError),
    ],
    ids=["hosts", "empty", "name missing", "no JSON", "error", "down"],
)
def test_the_list_is_read_or_a_known_error_is_raised(status, body, expected):
    class Handler(RequestHandler):
        def get(self):
            self.set_status(status)
            self.write(body)

    async def read():
        sockets = bind_sockets(0, "127.0.0.1")
        url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}/hosts"
        server = HTTPServer(Application([("/hosts", Handler)], log_function=lambda _: None))
        if status is None:
            sockets[0].close()
        else:
            server.add_sockets(sockets)
        if isinstance(expected, list):
            assert await HttpHostList(url=url).read() == expected
        else:
            with pytest.raises(expected):
                await HttpHostList(url=url).read()
        server.stop()

    run(read())
