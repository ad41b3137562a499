"""A route is removed and put back while the hosts of a zone are restarted in turn."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
TOOLS = FOLDER.parent / "tools-2"
sys.dont_write_bytecode = True
_spec = importlib.util.spec_from_file_location("review_site", TOOLS / "site.py")
review_site = importlib.util.module_from_spec(_spec)
sys.modules["review_site"] = review_site
_spec.loader.exec_module(review_site)

sys.path.append(str(TOOLS))
import rolling_restart  # noqa: E402

PORT = 444


async def case(site: review_site.Site, has_trouble: bool) -> int:
    routes = [review_site.route(443, "jobboard"), review_site.route(PORT, "jobboard")]
    site.configure(1, routes)
    for number in (0xA1, 0xB2, 0xC3):
        site.add_backend(number, "jobboard", "huon")

    def remove_route(number: int) -> None:
        site.configure(2 + 2 * number, routes[:1])

    def put_route_back(number: int) -> int:
        site.configure(3 + 2 * number, routes)
        return PORT

    return await rolling_restart.roll(
        site, has_trouble, before_exit=remove_route, after_exit=put_route_back
    )


review_site.run_case(FOLDER, {"huon": 3}, case, limit_s=112.0)
