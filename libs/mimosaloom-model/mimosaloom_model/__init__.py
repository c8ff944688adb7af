"""Shared types of mimosaloom."""

from .clock import Clock, ManualClock, SystemClock
from .context import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    MAX_CONTEXT_BYTES,
    MAX_DEPTH,
    AnswerNote,
    CallContext,
    ContextError,
    decode_answer_note,
    decode_context,
    encode_answer_note,
    encode_context,
)
from .faults import Fault, Invalid
from .ids import digest_bytes, hash_unit, new_request_id
from .kinds import ANSWERS, Answer, Kind, Ran
from .outcomes import Answered, Failed, Outcome, Refused
from .reading import (
    FileKind,
    check_documents,
    detect_file_kind,
    read_resources,
    read_settings,
)
from .resources import (
    Catalog,
    RequestClass,
    ResourceDocument,
    RetryAllowance,
    Service,
    Upstream,
    build_catalog,
)
from .settings import (
    Address,
    LimitSettings,
    ListenSettings,
    LogServiceSettings,
    NodeIdentity,
    NodeSettings,
    TargetSettings,
)

__all__ = [
    "ANSWERS",
    "ANSWER_HEADER",
    "CONTEXT_HEADER",
    "MAX_CONTEXT_BYTES",
    "MAX_DEPTH",
    "Address",
    "Answer",
    "AnswerNote",
    "Answered",
    "CallContext",
    "Catalog",
    "Clock",
    "ContextError",
    "Failed",
    "Fault",
    "FileKind",
    "Invalid",
    "Kind",
    "LimitSettings",
    "ListenSettings",
    "LogServiceSettings",
    "ManualClock",
    "NodeIdentity",
    "NodeSettings",
    "Outcome",
    "Ran",
    "Refused",
    "RequestClass",
    "ResourceDocument",
    "RetryAllowance",
    "Service",
    "SystemClock",
    "TargetSettings",
    "Upstream",
    "build_catalog",
    "check_documents",
    "decode_answer_note",
    "decode_context",
    "detect_file_kind",
    "digest_bytes",
    "encode_answer_note",
    "encode_context",
    "hash_unit",
    "new_request_id",
    "read_resources",
    "read_settings",
]
