"""The embeddable data path of mimosaloom, built on tornado.

The data path is everything that a call passes between its caller and its target:
routing, retries, admission, deadlines and at-most-once execution.
"""

from .assembly import DataPath, Place, build_caller, build_data_path
from .caller import Caller, LocalTarget
from .directory import Directory, FixedDirectory
from .egress import Egress
from .gate import AdmissionGate
from .hop import Execution, TargetHop
from .ingress import Ingress
from .messages import HopAnswer, Request, Response
from .metrics import MeshMetrics
from .middleware import AdmittedServer, admit
from .scopes import CallScope
from .server import WholeRequestServer
from .target import TargetLink
from .transport import Endpoint, Transport

__all__ = [
    "AdmissionGate",
    "AdmittedServer",
    "CallScope",
    "Caller",
    "DataPath",
    "Directory",
    "Egress",
    "Endpoint",
    "Execution",
    "FixedDirectory",
    "HopAnswer",
    "Ingress",
    "LocalTarget",
    "MeshMetrics",
    "Place",
    "Request",
    "Response",
    "TargetHop",
    "TargetLink",
    "Transport",
    "WholeRequestServer",
    "admit",
    "build_caller",
    "build_data_path",
]
