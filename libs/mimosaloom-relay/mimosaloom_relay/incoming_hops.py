"""Answers hops and queries of other nodes."""

from collections.abc import Callable
from urllib.parse import unquote

import msgspec

from mimosaloom_mesh.messages import Request, Response
from mimosaloom_model import ERROR_ANSWERS, Address, ErrorKind

from .addresses import parse_address
from .hop_messages import (
    HOP_HEADER,
    HOP_RESULT_HEADER,
    REQUESTER_HEADER,
    HeaderNames,
    HopContext,
    HopResult,
    Requester,
    decode_header,
    encode_header,
    read_kind,
)
from .http_client import Answer
from .http_server import Incoming
from .leave_exchange import LEFT_PATH
from .peers import PeerRecord
from .quarantine_exchange import QUARANTINE_PATH, QuarantineExchange
from .quota_exchange import QUOTA_PATH, QuotaExchange
from .read_progress import ReadProgress
from .reader_messages import FOLLOW_PATH
from .record_fanout import RecordFanout
from .refusals import build_refusal
from .store_era import StoreEra
from .target_side import TargetSide

__all__ = ["CONFIGURATION_PATH", "NODES_PATH", "SELF_PATH", "IncomingHops"]

SELF_PATH = "/.mimosaloom/self"
CONFIGURATION_PATH = "/.mimosaloom/configuration"
NODES_PATH = "/.mimosaloom/nodes"


class IncomingHops:
    """Runs hops on this node's target and answers queries about the node's state.

    Args:
        names: Header names that callers use.
        target_side: Runs hops on this node's target.
        own_record: Returns the record of this node.
        records: Returns the records of all known nodes.
        find_left_start: Returns the last start of a node's target that has left.
        put_leaving_record: Called with the name and the encoded record of a node that
            says itself that its target leaves.
        own_version: Returns the version of the configuration in force; 0 for none.
        own_document: Returns that configuration as published; empty for none.
        store_era: Era of the store; other nodes are told of it, and tell theirs.
        records_progress: How far the records of nodes have been read; likewise.
        quarantine: Requests that are held back; likewise.
        record_fanout: Answers the nodes that read the store through this one.
        quotas: Answers questions about the quotas of organisations.
        on_newer_version: Called when a hop names a newer configuration version, with
            that version and the address of the origin.
    """

    def __init__(
        self,
        names: HeaderNames,
        target_side: TargetSide,
        *,
        own_record: Callable[[], PeerRecord],
        records: Callable[[], list[PeerRecord]],
        find_left_start: Callable[[str], str],
        put_leaving_record: Callable[[str, bytes], None],
        own_version: Callable[[], int],
        own_document: Callable[[], bytes],
        store_era: StoreEra,
        records_progress: ReadProgress,
        quarantine: QuarantineExchange,
        record_fanout: RecordFanout,
        quotas: QuotaExchange,
        on_newer_version: Callable[[int, Address], None],
    ):
        self._names = names
        self._target_side = target_side
        self._own_record = own_record
        self._records = records
        self._find_left_start = find_left_start
        self._put_leaving_record = put_leaving_record
        self._own_version = own_version
        self._own_document = own_document
        self._store_era = store_era
        self._records_progress = records_progress
        self._quarantine = quarantine
        self._record_fanout = record_fanout
        self._quotas = quotas
        self._on_newer_version = on_newer_version

    async def handle(self, incoming: Incoming) -> Answer:
        """Answer a hop or a query."""
        request = incoming.request
        if request.path == FOLLOW_PATH:
            return await self._record_fanout.handle(request)
        if request.path == QUOTA_PATH:
            return await self._quotas.handle(request)
        if request.path == SELF_PATH:
            self._learn_version(request)
            return Answer(Response(200, (), msgspec.json.encode(self._own_record())))
        if request.path == NODES_PATH:
            return Answer(Response(200, (), msgspec.json.encode(self._records())))
        if request.path == CONFIGURATION_PATH:
            document = self._own_document()
            return Answer(Response(200 if document else 404, (), document))
        if request.path.startswith(LEFT_PATH):
            return self._exchange_left_start(request)
        if request.path == QUARANTINE_PATH:
            return self._exchange_quarantine(request)
        context = decode_header(request.header(HOP_HEADER), HopContext)
        if context is None:
            return Answer(build_refusal(self._names, ErrorKind.BAD_REQUEST, ""))
        self._apply_origin_state(context)
        reply = await self._target_side.run(context, incoming)
        result = msgspec.structs.replace(
            reply.result,
            version=self._own_version(),
            store_era=self._store_era.number,
            records_offset=self._records_progress.offset_in(self._store_era.number),
            quarantine_digest=self._quarantine.table.digest,
        )
        return self._build_answer(context, reply.answer, result)

    def refuse(self, request: Request) -> Response:
        """Return the answer to a hop that is not started for lack of memory."""
        context = decode_header(request.header(HOP_HEADER), HopContext)
        if context is None:
            return build_refusal(self._names, ErrorKind.OVERLOADED, "")
        detail = "the requests from all nodes take the memory for them"
        result = HopResult(ErrorKind.OVERLOADED.value, detail)
        return self._build_answer(context, None, result).response

    def _apply_origin_state(self, context: HopContext) -> None:
        """Catch up where the state of the origin is newer than that of this node."""
        self._store_era.hint(context.store_era)
        self._records_progress.hint(context.store_era, context.records_offset)
        is_newer = context.version > self._own_version()
        if not is_newer and not context.quarantine_digest:
            return
        origin = parse_address(context.origin)
        if origin is None:
            return
        if is_newer:
            self._on_newer_version(context.version, origin)
        self._quarantine.compare_digest(context.quarantine_digest, origin)

    def _learn_version(self, request: Request) -> None:
        """Fetch the configuration of a node that asks for the own record, if newer."""
        requester = decode_header(request.header(REQUESTER_HEADER), Requester)
        address = None if requester is None else parse_address(requester.address)
        if address is not None and requester.version > self._own_version():
            self._on_newer_version(requester.version, address)

    def _exchange_left_start(self, request: Request) -> Answer:
        name = unquote(request.path.removeprefix(LEFT_PATH))
        if request.method == "GET":
            start_key = self._find_left_start(name)
            return Answer(Response(200, (), start_key.encode("latin-1", "replace")))
        self._put_leaving_record(name, request.body)
        return Answer(Response(204, ()))

    def _exchange_quarantine(self, request: Request) -> Answer:
        if request.method == "GET":
            return Answer(Response(200, (), self._quarantine.build_news()))
        is_read = self._quarantine.apply_news(request.body)
        return Answer(Response(204 if is_read else 400, ()))

    def _build_answer(
        self, context: HopContext, answer: Answer | None, result: HopResult
    ) -> Answer:
        result_header = (HOP_RESULT_HEADER, encode_header(result))
        if answer is not None:
            response = answer.response
            headers = (*response.headers, result_header)
            return answer._replace(response=response._replace(headers=headers))
        kind = read_kind(result)
        headers = ((self._names.request_id, context.request_id), result_header)
        return Answer(Response(ERROR_ANSWERS[kind].http_status, headers))
