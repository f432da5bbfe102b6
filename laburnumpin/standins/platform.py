"""The platform stand-in: HTTP APIs of the services that entries depend on.

These are a table store, an object store, the cloud API and a weight store.
"""

from __future__ import annotations

import hmac

from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumpin import clock
from laburnumpin import token_bucket
from laburnumpin.standins import cloud
from laburnumpin.standins import documents
from laburnumpin.standins import faults
from laburnumpin.standins import objects
from laburnumpin.standins import platform_documents
from laburnumpin.standins import tables

MAX_ROWS_PER_TRANSACTION = 100
MAX_SCAN_ROWS = 1_000
WEIGHTS_SIZE_BYTES = 16_000_000_000


class Platform:
    """The platform's services, their rate limits and their two HTTP apps.

    The admin app adds and reclaims VMs and sets capacity and prices.
    """

    def __init__(
        self,
        settings: platform_documents.PlatformSettings,
        time: clock.Clock,
    ) -> None:
        now_ms = time.now_ms()
        self.settings = settings
        self.clock = time
        self.incarnation = now_ms
        self.switches = faults.FaultSwitches(time)
        self.tables = tables.Tables()
        self.objects = objects.ObjectStore()
        self.cloud = cloud.Cloud(now_ms, settings.start_delay_ms)
        self.cloud.prices.update(settings.prices)
        self._table_writes = _make_bucket(settings.writes_per_s, now_ms)
        self._table_reads = _make_bucket(settings.reads_per_s, now_ms)
        self._object_writes = _make_bucket(settings.writes_per_s, now_ms)
        self._object_reads = _make_bucket(settings.reads_per_s, now_ms)
        self._weight_loads = _make_bucket(settings.weight_loads_per_s, now_ms)

    def app(self) -> applications.Starlette:
        """Return the app of the main port."""
        return applications.Starlette(
            routes=self._routes(),
            middleware=[
                middleware.Middleware(
                    faults.FaultMiddleware, switches=self.switches
                )
            ],
            exception_handlers=documents.EXCEPTION_HANDLERS,
        )

    def admin_app(self) -> applications.Starlette:
        """Return the app of the admin port."""
        post = ["POST"]
        return faults.admin_app(
            self.switches,
            [
                routing.Route("/admin/vms", self._add_vms, methods=post),
                routing.Route("/admin/spares", self._add_spares, methods=post),
                routing.Route("/admin/notices", self._reclaim, methods=post),
                routing.Route(
                    "/admin/capacity", self._limit_starts, methods=post
                ),
                routing.Route("/admin/prices", self._set_prices, methods=post),
            ],
        )

    def _routes(self) -> list[routing.Route]:
        route = routing.Route
        get = ["GET"]
        post = ["POST"]
        return [
            route("/tables/transact", self._transact, methods=post),
            route("/tables/read", self._read_rows, methods=post),
            route("/tables/{table}", self._scan, methods=get),
            route("/tables/{table}/{key:path}", self._read_row, methods=get),
            route("/objects", self._list_objects, methods=get),
            route("/objects/{key:path}", self._put_object, methods=["PUT"]),
            route("/objects/{key:path}", self._get_object, methods=get),
            route(
                "/objects/{key:path}", self._delete_object, methods=["DELETE"]
            ),
            route("/vms", self._list_vms, methods=get),
            route("/vms", self._start_vm, methods=post),
            route("/vms/{vm_id}", self._stop_vm, methods=["DELETE"]),
            route("/notices", self._list_notices, methods=get),
            route("/prices", self._list_prices, methods=get),
            route("/weights/{model}", self._get_weights, methods=get),
        ]

    async def _transact(self, request: requests.Request) -> responses.Response:
        self._check_admission(request, self._table_writes)
        body = await documents.read(request, documents.Transaction)
        if len(body.writes) > MAX_ROWS_PER_TRANSACTION:
            raise documents.RefusedError(
                400,
                "transaction_too_large",
                f"transaction has more than {MAX_ROWS_PER_TRANSACTION} writes",
            )
        result = self.tables.transact(body.conditions, body.writes)
        if result.conflicts:
            return documents.respond(
                documents.Conflicts(result.conflicts), status=409
            )
        return documents.respond(documents.Versions(result.versions))

    async def _read_rows(self, request: requests.Request) -> responses.Response:
        self._check_admission(request, self._table_reads)
        body = await documents.read(request, documents.RowsQuery)
        rows = tuple(self.tables.read(body.table, key) for key in body.keys)
        return documents.respond(documents.Rows(rows))

    async def _read_row(self, request: requests.Request) -> responses.Response:
        self._check_admission(request, self._table_reads)
        path = request.path_params
        return documents.respond(self.tables.read(path["table"], path["key"]))

    async def _scan(self, request: requests.Request) -> responses.Response:
        self._check_admission(request, self._table_reads)
        prefix = request.query_params.get("prefix", "")
        limit = _read_limit(request)
        table = request.path_params["table"]
        return documents.respond(
            documents.Rows(self.tables.scan(table, prefix, limit))
        )

    async def _put_object(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_admission(request, self._object_writes)
        self.objects.put(request.path_params["key"], await request.body())
        return documents.respond(documents.Done())

    async def _get_object(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_admission(request, self._object_reads)
        body = self.objects.get(request.path_params["key"])
        if body is None:
            raise documents.RefusedError(
                404, "not_found", "object does not exist"
            )
        return responses.Response(body, media_type="application/octet-stream")

    async def _delete_object(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_admission(request, self._object_writes)
        self.objects.delete(request.path_params["key"])
        return documents.respond(documents.Done())

    async def _list_objects(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_admission(request, self._object_reads)
        prefix = request.query_params.get("prefix", "")
        return documents.respond(documents.Keys(self.objects.keys(prefix)))

    async def _list_vms(self, request: requests.Request) -> responses.Response:
        self._check_admission(request)
        lag_ms = self.settings.vm_list_lag_ms
        lag_ms = max(lag_ms, self.switches.faults.vm_list_lag_ms)
        vms = self.cloud.vms(self.clock.now_ms(), lag_ms)
        return documents.respond(platform_documents.Vms(vms))

    async def _start_vm(self, request: requests.Request) -> responses.Response:
        self._check_admission(request)
        order = await documents.read(request, cloud.StartOrder)
        refuse = self.switches.faults.refuse_starts
        vm_id = self.cloud.start(order, self.clock.now_ms(), refuse)
        if vm_id is None:
            raise documents.RefusedError(
                409,
                "capacity_refused",
                f"no capacity for {order.vm_class} in zone {order.zone}",
            )
        return documents.respond(platform_documents.VmStarted(vm_id), 201)

    async def _stop_vm(self, request: requests.Request) -> responses.Response:
        self._check_admission(request)
        vm_id = request.path_params["vm_id"]
        if not self.cloud.stop(vm_id, self.clock.now_ms()):
            raise documents.RefusedError(404, "not_found", "VM does not exist")
        return documents.respond(documents.Done())

    async def _list_notices(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_admission(request)
        notices = self.cloud.notices(self.clock.now_ms())
        return documents.respond(platform_documents.Notices(notices))

    async def _list_prices(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_admission(request)
        return documents.respond(platform_documents.Prices(self.cloud.prices))

    async def _get_weights(
        self, request: requests.Request
    ) -> responses.Response:
        self._check_admission(request, self._weight_loads)
        model = request.path_params["model"]
        return documents.respond(
            platform_documents.Weights(model, WEIGHTS_SIZE_BYTES)
        )

    async def _add_vms(self, request: requests.Request) -> responses.Response:
        body = await documents.read(request, platform_documents.Vms)
        for row in body.vms:
            self.cloud.add(row, self.clock.now_ms())
        return documents.respond(documents.Done())

    async def _add_spares(
        self, request: requests.Request
    ) -> responses.Response:
        body = await documents.read(request, platform_documents.Vms)
        for row in body.vms:
            self.cloud.add_spare(row)
        return documents.respond(documents.Done())

    async def _reclaim(self, request: requests.Request) -> responses.Response:
        body = await documents.read(request, cloud.Reclaim)
        vm_ids = self.cloud.reclaim(body, self.clock.now_ms())
        return documents.respond(platform_documents.VmIds(vm_ids))

    async def _limit_starts(
        self, request: requests.Request
    ) -> responses.Response:
        self.cloud.limit_starts(await documents.read(request, cloud.Capacity))
        return documents.respond(documents.Done())

    async def _set_prices(
        self, request: requests.Request
    ) -> responses.Response:
        body = await documents.read(request, platform_documents.Prices)
        self.cloud.prices.update(body.prices)
        return documents.respond(documents.Done())

    def _check_admission(
        self,
        request: requests.Request,
        bucket: token_bucket.TokenBucket | None = None,
    ) -> None:
        expected = f"Bearer {self.settings.token}".encode()
        received = request.headers.get("Authorization", "").encode()
        if self.settings.token and not hmac.compare_digest(expected, received):
            raise documents.RefusedError(
                401, "unauthorized", "platform token is missing or wrong"
            )
        if bucket is None or bucket.take(1, self.clock.now_ms()):
            return
        raise documents.RefusedError(
            429, "rate_limited", "rate limit exceeded", retry_after_s=1
        )


def _make_bucket(rate_per_s: float, now_ms: int) -> token_bucket.TokenBucket:
    return token_bucket.TokenBucket(rate_per_s, max(1.0, rate_per_s), now_ms)


def _read_limit(request: requests.Request) -> int:
    limit_text = request.query_params.get("limit", str(MAX_SCAN_ROWS))
    if not limit_text.isdecimal():
        raise documents.RefusedError(
            400, "invalid_request", "limit must be a non-negative integer"
        )
    return min(int(limit_text), MAX_SCAN_ROWS)
