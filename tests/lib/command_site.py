"""A store stand-in and an entry host that reports its status, in a thread, for command tests."""

import asyncio
import json
import threading
from contextlib import contextmanager

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from redwingswitch._internal.standins.store import EtcdGatewayStandin
from tests.lib.store_standin import ManualClock


class StatusHandler(RequestHandler):
    def initialize(self, site):
        self.site = site

    def get(self):
        status = self.site.status
        if callable(status):
            status = status()
        self.finish(json.dumps(status))


class Site:
    """One store and one entry host; ``status`` is the reported status or a function for it."""

    def __init__(self):
        self.status = None
        self.standin = None
        self.store = ""
        self.hosts = ""
        self._loop = None

    def run_in_server_thread(self, function):
        """Run ``function`` in the server thread and return its result."""

        async def call():
            return function()

        return asyncio.run_coroutine_threadsafe(call(), self._loop).result()

    async def _start(self):
        self._loop = asyncio.get_running_loop()
        self.standin = EtcdGatewayStandin(clock=ManualClock())
        self.standin.start()
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(
            Application([("/status", StatusHandler, {"site": self})], log_function=lambda _: None)
        )
        server.add_sockets(sockets)
        self.store = f"http://127.0.0.1:{self.standin.port}"
        self.hosts = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def serve(self, started, stop):
        await self._start()
        started.set()
        await asyncio.get_running_loop().run_in_executor(None, stop.wait)
        await self.standin.stop()


@contextmanager
def running_site():
    site, started, stop = Site(), threading.Event(), threading.Event()
    thread = threading.Thread(target=lambda: asyncio.run(site.serve(started, stop)))
    thread.start()
    started.wait()
    try:
        yield site
    finally:
        stop.set()
        thread.join()
