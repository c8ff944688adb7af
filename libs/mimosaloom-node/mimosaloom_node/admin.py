"""Admin API of the node: metrics, health, status and drain."""

from collections.abc import Callable

import msgspec

from mimosaloom_mesh import DataPath, Request, Response
from mimosaloom_mesh.server import build_refusal
from mimosaloom_model import ErrorKind, NodeSettings

__all__ = ["Admin"]

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Admin:
    """Handles the requests of operators.

    Args:
        settings: Settings of the node.
        incarnation: Incarnation of this process.
        data_path: Data path whose metrics and state are reported.
        start_drain: Starts the graceful stop of the node, which drains it first;
            returns immediately.
        describe_control: Returns the fields that the control plane adds to
            `/status`.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: str,
        data_path: DataPath,
        start_drain: Callable[[], None],
        describe_control: Callable[[], dict] = dict,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._data_path = data_path
        self._start_drain = start_drain
        self._describe_control = describe_control

    async def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        match request.method, request.path:
            case "GET", "/metrics":
                body = self._data_path.caller.metrics.render()
                return Response(200, (("Content-Type", METRICS_TYPE),), body)
            case "GET", "/healthz":
                return self._health()
            case "GET", "/status":
                return _json(200, self._status())
            case "POST", "/drain":
                self._start_drain()
                return _json(202, {"is_draining": True})
        return build_refusal(
            ErrorKind.BAD_REQUEST,
            "use GET /metrics, GET /healthz, GET /status or POST /drain",
        )

    def _health(self) -> Response:
        is_draining = self._data_path.gate.is_draining
        return _json(503 if is_draining else 200, {"is_draining": is_draining})

    def _status(self) -> dict:
        gate = self._data_path.gate
        directory = self._data_path.caller.directory
        services = directory.catalog().services
        return {
            "node": self._settings.node._asdict(),
            "target": self._settings.target._asdict(),
            "incarnation": self._incarnation,
            "is_draining": gate.is_draining,
            "limit": gate.admission.limit,
            "in_flight": gate.admission.in_flight,
            "queued": gate.admission.queued,
            "level": gate.admission.level,
            "upstreams": {
                name: [c._asdict() for c in directory.candidates(name)]
                for name in services
            },
            **self._describe_control(),
        }


def _json(status: int, value: object) -> Response:
    body = msgspec.json.encode(value)
    return Response(status, (("Content-Type", "application/json"),), body)
