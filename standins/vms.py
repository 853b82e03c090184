"""VM list whose changes become visible after a lag.

Faults: `down`, `delay_s`, `lag_s` (seconds until a change is visible).
"""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web

from standins._server import Faults, error_response, make_app, make_parser, read_json_object, run

#: Values of the VM fields that a registration omits.
VM_DEFAULTS: dict[str, Any] = {
    "address": "127.0.0.1",
    "link_port": 0,
    "http_port": 0,
    "region": "",
    "data_centre": "",
    "upstream": "",
    "kind": "",
    "state": "live",
}


class VmList:
    """All versions of the list, each with its creation time."""

    def __init__(self, faults: Faults):
        self._faults = faults
        self._versions: list[tuple[float, dict[str, dict[str, Any]]]] = [(0.0, {})]

    def _add_version(self, vm_id: str, vm: dict[str, Any] | None) -> web.Response:
        vms = dict(self._versions[-1][1])
        if vm is None:
            vms.pop(vm_id, None)
        else:
            vms[vm_id] = vm
        self._versions.append((time.time(), vms))
        return web.json_response({"vms": len(vms)})

    async def register(self, request: web.Request) -> web.Response:
        vm = VM_DEFAULTS | await read_json_object(request)
        if not isinstance(vm.get("id"), str) or vm.get("role") not in ("entry", "agent"):
            return error_response(400, "a VM needs an id and a role of entry or agent")
        return self._add_version(vm["id"], vm)

    async def leave(self, request: web.Request) -> web.Response:
        vm_id = (await read_json_object(request)).get("id", "")
        vm = self._versions[-1][1].get(vm_id)
        if vm is None:
            return error_response(404, f"no VM {vm_id!r}")
        return self._add_version(vm_id, vm | {"state": "leaving"})

    async def remove(self, request: web.Request) -> web.Response:
        return self._add_version((await read_json_object(request)).get("id", ""), None)

    async def get_vms(self, _: web.Request) -> web.Response:
        as_of = time.time() - self._faults["lag_s"]
        visible_index = max(
            i for i, (created_at, _) in enumerate(self._versions) if created_at <= as_of
        )
        return web.json_response(
            {"as_of": as_of, "vms": list(self._versions[visible_index][1].values())}
        )


def main() -> None:
    """Runs the VM list service."""
    parser = make_parser(__doc__)
    parser.add_argument("--lag-s", type=float, default=0.0)
    args = parser.parse_args()
    faults = Faults(down=False, delay_s=0.0, lag_s=args.lag_s)
    vm_list = VmList(faults)
    app = make_app(faults, ("/vms",))
    app.add_routes(
        [
            web.get("/vms", vm_list.get_vms),
            web.post("/register", vm_list.register),
            web.post("/leave", vm_list.leave),
            web.post("/remove", vm_list.remove),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
