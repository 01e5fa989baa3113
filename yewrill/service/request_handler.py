"""Handles one HTTP exchange with a client: the readiness check, or a request and its final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.lifecycle import Answer, Served, run_request
from yewrill.dispatch.request import Rejection, Request
from yewrill.dispatch.safety import Rule
from yewrill.net.client_connection import ClientConnection
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import BadRequest, HttpRequest, Reply
from yewrill.observability.logs import bind_request
from yewrill.observability.metrics import ERROR, OVERLOAD, SUCCESS, Metrics
from yewrill.service.background_tasks import BackgroundTasks
from yewrill.service.open_requests import OpenRequests
from yewrill.service.operator_drain import OperatorDrainState
from yewrill.service.run_state import RunState
from yewrill.service.subsystems import SubsystemContext

if TYPE_CHECKING:
    from yewrill.frontends.platform import PlatformFront
    from yewrill.frontends.progress import ProgressFront
    from yewrill.persistence import PersistentState
    from yewrill.service.tracing_hooks import TracingHooks

READY_PATH = "/up"


class RequestHandler:
    """Answers the clients of the listener."""

    def __init__(
        self,
        front: PlatformFront | ProgressFront,
        engine: DecisionEngine,
        endpoints: EndpointList,
        context: SubsystemContext,
        *,
        run_state: RunState,
        operator_drain: OperatorDrainState,
        open_requests: OpenRequests,
        metrics: Metrics,
        tasks: BackgroundTasks,
        persistent_state: PersistentState | None,
        tracing_hooks: TracingHooks | None,
    ):
        self._front = front
        self._engine = engine
        self._endpoints = endpoints
        # A subsystem may have replaced the `run_attempt` of the context by a wrapper.
        self._context = context
        self._run_state = run_state
        self._operator_drain = operator_drain
        self._open_requests = open_requests
        self._metrics = metrics
        self._tasks = tasks
        self._persistent_state = persistent_state
        self._tracing_hooks = tracing_hooks

    async def handle(self, client: ClientConnection, http_request: HttpRequest) -> bool:
        """Answers one request. Returns whether the connection may carry another request.

        Raises BadRequest, for which the listener sends the reply. On cancellation the request is closed as
        if its client had left.
        """
        if http_request.target.partition("?")[0] == READY_PATH:
            return await self._answer_readiness(client, http_request)
        if self._run_state.refuses_requests and not self._front.takes_while_draining:
            raise BadRequest(503, "draining")
        now = self._engine.now() - (trio.current_time() - http_request.arrived) * 1000.0
        request = self._front.reader.read_request(http_request, now)
        if request.id in self._open_requests:
            # The client or a worker still has a request of this id and could not tell the two requests apart.
            raise BadRequest(409, "X-Request-ID is in use")
        if (early_reply := self._front.early_reply(http_request)) is not None:
            await client.send(client.http.encode_reply(early_reply, close=True))
            return False
        self._open_requests.add(request.id)
        self._begin_observing(request, http_request, now)
        self._engine.submit(request)
        try:
            return await self._respond(client, request)
        finally:
            self._finish(client, request)

    async def _answer_readiness(self, client: ClientConnection, http_request: HttpRequest) -> bool:
        if http_request.method != "GET":
            raise BadRequest(405, "GET only", (("Allow", "GET"),))
        reply = self._readiness()
        close = self._closes_after_answer(client)
        return await client.send(client.http.encode_reply(reply, close)) and not close

    async def _respond(self, client: ClientConnection, request: Request) -> bool:
        request_class = self._front.reader.settings.classes[request.request_class].name
        client.request, client.on_left, client.has_sent_request = (
            request,
            self._engine.client_left,
            True,
        )
        request.poll_client_left = client.has_left
        request.settle_client_input = client.settle_input
        async with client.reading_ahead(self._tasks.nursery):
            if request.trace is not None:
                bind_request(request.id, request.trace.context.trace)
            return await self._front.respond(
                client,
                request,
                lambda: self._run_to_answer(request, request_class),
                lambda: self._closes_after_answer(client),
            )

    def _finish(self, client: ClientConnection, request: Request) -> None:
        client.request = None
        if not request.closed:  # the policy module must not wait for an exchange that has ended
            self._engine.client_left(request)
        self._open_requests.discard(request.id)
        if self._persistent_state is not None:
            self._persistent_state.attempts.request_finished(request)
        if self._tracing_hooks is not None:
            self._tracing_hooks.request_finished(request)

    async def _run_to_answer(self, request: Request, request_class: str) -> Answer | None:
        """Runs a request to its final answer and counts it. Returns None if the client left before."""
        answer = await run_request(request, self._engine, self._context.run_attempt)
        if answer is None:
            return None
        if self._tracing_hooks is not None:
            self._tracing_hooks.answered(request, answer)
        self._metrics.answered(request_class, _status(answer))
        return answer

    def _begin_observing(self, request: Request, http_request: HttpRequest, now: float) -> None:
        """Begins the request's records and trace, with the settings with which it was read."""
        if self._persistent_state is None and self._tracing_hooks is None:
            return
        settings = self._front.reader.settings
        spec = settings.classes[request.request_class]
        tenant = settings.tenants[request.tenant].name if settings.tenants else ""
        if self._persistent_state is not None:
            self._persistent_state.attempts.begin_request(request, spec, tenant)
        if self._tracing_hooks is not None:
            self._tracing_hooks.begin(request, http_request, spec, tenant, now)

    def _closes_after_answer(self, client: ClientConnection) -> bool:
        return (
            self._run_state.closing_connections
            or self._operator_drain.closing_connections
            or client.has_pipelined_input
        )

    def _readiness(self) -> Reply:
        # Once a new process has taken over, the dispatcher is ready, whichever of the two processes is asked.
        if self._run_state.refuses_requests:
            return Reply(503, b"draining\n")
        if self._operator_drain.active:
            return Reply(503, b"drained by operators\n")
        if not len(self._endpoints):
            return Reply(503, b"no pool config yet\n")
        return Reply(200, b"up\n")

    def closed_unanswered(self, client: ClientConnection) -> None:
        """Records a connection that closed before its request was answered: a violation of a safety rule."""
        request = client.request.id if client.request is not None else ""
        self._engine.violations.note(Rule.CLOSED_UNANSWERED, request=request, connection=id(client))


def _status(answer: Answer) -> str:
    """Returns the status under which a final answer is counted."""
    if isinstance(answer, Served):
        return SUCCESS
    return OVERLOAD if isinstance(answer, Rejection) else ERROR
