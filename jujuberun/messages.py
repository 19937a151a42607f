"""Messages of jujuberun.thrift; made by jujuberun.codegen."""

from jujuberun.thrift_packages import TPayload, TType


class Forward(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "service_id", False),
        2: (TType.I64, "generation", False),
        3: (TType.BINARY, "address", False),
        4: (TType.LIST, "candidates", TType.STRING, False),
        5: (TType.I16, "hops", False),
        6: (TType.BINARY, "balancer", False),
        7: (TType.STRING, "owner", False),
        8: (TType.LIST, "passed", TType.STRING, False),
        9: (TType.BINARY, "caller", False),
        10: (TType.BINARY, "payload", False),
    }

    def __init__(
        self,
        service_id=None,
        generation=None,
        address=None,
        candidates=None,
        hops=None,
        balancer=None,
        owner=None,
        passed=None,
        caller=None,
        payload=None,
    ):
        self.service_id = service_id
        self.generation = generation
        self.address = address
        self.candidates = candidates
        self.hops = hops
        self.balancer = balancer
        self.owner = owner
        self.passed = passed
        self.caller = caller
        self.payload = payload


class Answer(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "service_id", False),
        2: (TType.BINARY, "address", False),
        3: (TType.STRING, "owner", False),
        4: (TType.BINARY, "caller", False),
        5: (TType.BINARY, "payload", False),
    }

    def __init__(
        self,
        service_id=None,
        address=None,
        owner=None,
        caller=None,
        payload=None,
    ):
        self.service_id = service_id
        self.address = address
        self.owner = owner
        self.caller = caller
        self.payload = payload


class Hint(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "service_id", False),
        2: (TType.BINARY, "address", False),
        3: (TType.BINARY, "caller", False),
        4: (TType.STRING, "owner", False),
        5: (TType.BINARY, "owner_agent", False),
    }

    def __init__(
        self,
        service_id=None,
        address=None,
        caller=None,
        owner=None,
        owner_agent=None,
    ):
        self.service_id = service_id
        self.address = address
        self.caller = caller
        self.owner = owner
        self.owner_agent = owner_agent


class Reset(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "address", False),
        2: (TType.BINARY, "caller", False),
        3: (TType.STRING, "reason", False),
        4: (TType.I32, "retry_after", False),
        5: (TType.BINARY, "quoted", False),
    }

    def __init__(
        self,
        address=None,
        caller=None,
        reason=None,
        retry_after=None,
        quoted=None,
    ):
        self.address = address
        self.caller = caller
        self.reason = reason
        self.retry_after = retry_after
        self.quoted = quoted


class Claim(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "flow", False),
        2: (TType.STRING, "claimant", False),
        3: (TType.I64, "generation", False),
        4: (TType.I16, "rank", False),
        5: (TType.BOOL, "starts", False),
        6: (TType.I64, "token", False),
    }

    def __init__(
        self,
        flow=None,
        claimant=None,
        generation=None,
        rank=None,
        starts=None,
        token=None,
    ):
        self.flow = flow
        self.claimant = claimant
        self.generation = generation
        self.rank = rank
        self.starts = starts
        self.token = token


class ClaimReply(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
        2: (TType.STRING, "owner", False),
        3: (TType.BINARY, "owner_agent", False),
        4: (TType.STRING, "service_id", False),
    }

    def __init__(
        self,
        token=None,
        owner=None,
        owner_agent=None,
        service_id=None,
    ):
        self.token = token
        self.owner = owner
        self.owner_agent = owner_agent
        self.service_id = service_id


class FlowRecord(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "flow", False),
        2: (TType.I64, "created", False),
    }

    def __init__(
        self,
        flow=None,
        created=None,
    ):
        self.flow = flow
        self.created = created


class Register(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "owner", False),
        2: (TType.STRING, "service_id", False),
        3: (TType.BINARY, "agent", False),
        4: (TType.LIST, "flows", (TType.STRUCT, FlowRecord), False),
        5: (TType.LIST, "gone", TType.BINARY, False),
        6: (TType.I64, "token", False),
    }

    def __init__(
        self,
        owner=None,
        service_id=None,
        agent=None,
        flows=None,
        gone=None,
        token=None,
    ):
        self.owner = owner
        self.service_id = service_id
        self.agent = agent
        self.flows = flows
        self.gone = gone
        self.token = token


class RegisterReply(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
    }

    def __init__(
        self,
        token=None,
    ):
        self.token = token


class Release(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "flow", False),
        2: (TType.STRING, "owner", False),
    }

    def __init__(
        self,
        flow=None,
        owner=None,
    ):
        self.flow = flow
        self.owner = owner


class Load(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "target", False),
        2: (TType.I32, "busy", False),
        3: (TType.I32, "queued", False),
        4: (TType.I32, "flows", False),
        5: (TType.I32, "age", False),
        6: (TType.BOOL, "draining", False),
        7: (TType.BOOL, "healthy", False),
    }

    def __init__(
        self,
        target=None,
        busy=None,
        queued=None,
        flows=None,
        age=None,
        draining=None,
        healthy=None,
    ):
        self.target = target
        self.busy = busy
        self.queued = queued
        self.flows = flows
        self.age = age
        self.draining = draining
        self.healthy = healthy


class Loads(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "service_id", False),
        2: (TType.LIST, "loads", (TType.STRUCT, Load), False),
    }

    def __init__(
        self,
        service_id=None,
        loads=None,
    ):
        self.service_id = service_id
        self.loads = loads


class Sighting(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "peer", False),
        2: (TType.I32, "age", False),
    }

    def __init__(
        self,
        peer=None,
        age=None,
    ):
        self.peer = peer
        self.age = age


class Status(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "vm", False),
        2: (TType.I64, "generation", False),
        3: (TType.BINARY, "digest", False),
        4: (TType.I64, "vm_index", False),
        5: (TType.BINARY, "vm_digest", False),
        6: (TType.LIST, "loads", (TType.STRUCT, Load), False),
        7: (TType.I64, "asks", False),
        8: (TType.I64, "replies", False),
        9: (TType.LIST, "sightings", (TType.STRUCT, Sighting), False),
        10: (TType.I32, "read_age", False),
        11: (TType.I32, "epoch", False),
        12: (TType.I64, "drain_index", False),
        13: (TType.BINARY, "drain_digest", False),
    }

    def __init__(
        self,
        vm=None,
        generation=None,
        digest=None,
        vm_index=None,
        vm_digest=None,
        loads=None,
        asks=None,
        replies=None,
        sightings=None,
        read_age=None,
        epoch=None,
        drain_index=None,
        drain_digest=None,
    ):
        self.vm = vm
        self.generation = generation
        self.digest = digest
        self.vm_index = vm_index
        self.vm_digest = vm_digest
        self.loads = loads
        self.asks = asks
        self.replies = replies
        self.sightings = sightings
        self.read_age = read_age
        self.epoch = epoch
        self.drain_index = drain_index
        self.drain_digest = drain_digest


class Probe(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
    }

    def __init__(
        self,
        token=None,
    ):
        self.token = token


class ProbeReply(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
        2: (TType.BOOL, "draining", False),
    }

    def __init__(
        self,
        token=None,
        draining=None,
    ):
        self.token = token
        self.draining = draining


class Reserve(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
        2: (TType.STRING, "service_id", False),
        3: (TType.I32, "wait", False),
    }

    def __init__(
        self,
        token=None,
        service_id=None,
        wait=None,
    ):
        self.token = token
        self.service_id = service_id
        self.wait = wait


class ReserveReply(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
        2: (TType.BOOL, "granted", False),
        3: (TType.I32, "busy", False),
        4: (TType.I32, "queued", False),
    }

    def __init__(
        self,
        token=None,
        granted=None,
        busy=None,
        queued=None,
    ):
        self.token = token
        self.granted = granted
        self.busy = busy
        self.queued = queued


class Cancel(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
    }

    def __init__(
        self,
        token=None,
    ):
        self.token = token


class Grant(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "service_id", False),
        2: (TType.DOUBLE, "rate", False),
        3: (TType.I32, "expires", False),
    }

    def __init__(
        self,
        service_id=None,
        rate=None,
        expires=None,
    ):
        self.service_id = service_id
        self.rate = rate
        self.expires = expires


class Fetch(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "kind", False),
        2: (TType.I64, "index", False),
        3: (TType.BINARY, "digest", False),
        4: (TType.I32, "epoch", False),
    }

    def __init__(
        self,
        kind=None,
        index=None,
        digest=None,
        epoch=None,
    ):
        self.kind = kind
        self.index = index
        self.digest = digest
        self.epoch = epoch


class Document(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "kind", False),
        2: (TType.I64, "index", False),
        3: (TType.BINARY, "digest", False),
        4: (TType.BINARY, "base", False),
        5: (TType.BINARY, "data", False),
    }

    def __init__(
        self,
        kind=None,
        index=None,
        digest=None,
        base=None,
        data=None,
    ):
        self.kind = kind
        self.index = index
        self.digest = digest
        self.base = base
        self.data = data


class FetchHistory(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "digest", False),
    }

    def __init__(
        self,
        digest=None,
    ):
        self.digest = digest


class HistoryEntry(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRUCT, "document", Document, False),
        2: (TType.I64, "since", False),
        3: (TType.I64, "replaced", False),
    }

    def __init__(
        self,
        document=None,
        since=None,
        replaced=None,
    ):
        self.document = document
        self.since = since
        self.replaced = replaced


class History(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.LIST, "entries", (TType.STRUCT, HistoryEntry), False),
        2: (TType.BOOL, "complete", False),
    }

    def __init__(
        self,
        entries=None,
        complete=None,
    ):
        self.entries = entries
        self.complete = complete


class Run(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
        2: (TType.STRING, "service_id", False),
        3: (TType.STRING, "request_id", False),
        4: (TType.STRING, "method", False),
        5: (TType.STRING, "path", False),
        6: (TType.BOOL, "idempotent", False),
        7: (TType.I32, "timeout", False),
        8: (TType.BINARY, "body", False),
        9: (TType.LIST, "headers", TType.STRING, False),
    }

    def __init__(
        self,
        token=None,
        service_id=None,
        request_id=None,
        method=None,
        path=None,
        idempotent=None,
        timeout=None,
        body=None,
        headers=None,
    ):
        self.token = token
        self.service_id = service_id
        self.request_id = request_id
        self.method = method
        self.path = path
        self.idempotent = idempotent
        self.timeout = timeout
        self.body = body
        self.headers = headers


class RunReply(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "outcome", False),
        2: (TType.I32, "status", False),
        3: (TType.BINARY, "body", False),
        4: (TType.LIST, "headers", TType.STRING, False),
        5: (TType.STRING, "reason", False),
        6: (TType.I32, "retry_after", False),
    }

    def __init__(
        self,
        outcome=None,
        status=None,
        body=None,
        headers=None,
        reason=None,
        retry_after=None,
    ):
        self.outcome = outcome
        self.status = status
        self.body = body
        self.headers = headers
        self.reason = reason
        self.retry_after = retry_after


class Accepted(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "key", False),
        2: (TType.I64, "sequence", False),
        3: (TType.I32, "busy", False),
        4: (TType.I32, "service_time", False),
        5: (TType.I32, "work", False),
        6: (TType.STRING, "pool", False),
    }

    def __init__(
        self,
        key=None,
        sequence=None,
        busy=None,
        service_time=None,
        work=None,
        pool=None,
    ):
        self.key = key
        self.sequence = sequence
        self.busy = busy
        self.service_time = service_time
        self.work = work
        self.pool = pool


class Declined(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BINARY, "key", False),
        2: (TType.I32, "busy", False),
        3: (TType.I32, "service_time", False),
        4: (TType.BOOL, "draining", False),
        5: (TType.I32, "retry_after", False),
        6: (TType.BOOL, "needs_pool", False),
        7: (TType.STRING, "pool", False),
    }

    def __init__(
        self,
        key=None,
        busy=None,
        service_time=None,
        draining=None,
        retry_after=None,
        needs_pool=None,
        pool=None,
    ):
        self.key = key
        self.busy = busy
        self.service_time = service_time
        self.draining = draining
        self.retry_after = retry_after
        self.needs_pool = needs_pool
        self.pool = pool


class Warmup(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "target", False),
        2: (TType.I32, "limit", False),
        3: (TType.I32, "remaining", False),
    }

    def __init__(
        self,
        target=None,
        limit=None,
        remaining=None,
    ):
        self.target = target
        self.limit = limit
        self.remaining = remaining


class Locate(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.LIST, "keys", TType.BINARY, False),
    }

    def __init__(
        self,
        keys=None,
    ):
        self.keys = keys


class NotHeld(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.LIST, "keys", TType.BINARY, False),
        2: (TType.I64, "started", False),
        3: (TType.I64, "running", False),
        4: (TType.STRING, "pool", False),
    }

    def __init__(
        self,
        keys=None,
        started=None,
        running=None,
        pool=None,
    ):
        self.keys = keys
        self.started = started
        self.running = running
        self.pool = pool


class ListAddresses(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
    }

    def __init__(
        self,
        token=None,
    ):
        self.token = token


class HeldAddresses(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "token", False),
        2: (TType.LIST, "addresses", TType.BINARY, False),
        3: (TType.BOOL, "complete", False),
        4: (TType.I64, "started", False),
        5: (TType.I64, "running", False),
        6: (TType.STRING, "pool", False),
    }

    def __init__(
        self,
        token=None,
        addresses=None,
        complete=None,
        started=None,
        running=None,
        pool=None,
    ):
        self.token = token
        self.addresses = addresses
        self.complete = complete
        self.started = started
        self.running = running
        self.pool = pool


class Envelope(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "sender", False),
        2: (TType.I64, "sequence", False),
        3: (TType.I64, "sent", False),
        10: (TType.STRUCT, "forward", Forward, False),
        11: (TType.STRUCT, "answer", Answer, False),
        12: (TType.STRUCT, "hint", Hint, False),
        13: (TType.STRUCT, "reset", Reset, False),
        14: (TType.STRUCT, "claim", Claim, False),
        15: (TType.STRUCT, "claim_reply", ClaimReply, False),
        16: (TType.STRUCT, "register_flows", Register, False),
        17: (TType.STRUCT, "release", Release, False),
        18: (TType.STRUCT, "status", Status, False),
        19: (TType.STRUCT, "probe", Probe, False),
        20: (TType.STRUCT, "probe_reply", ProbeReply, False),
        21: (TType.STRUCT, "reserve", Reserve, False),
        22: (TType.STRUCT, "reserve_reply", ReserveReply, False),
        23: (TType.STRUCT, "cancel", Cancel, False),
        24: (TType.STRUCT, "grant", Grant, False),
        25: (TType.STRUCT, "register_reply", RegisterReply, False),
        26: (TType.STRUCT, "loads", Loads, False),
        27: (TType.STRUCT, "accepted", Accepted, False),
        28: (TType.STRUCT, "declined", Declined, False),
        29: (TType.STRUCT, "warmup", Warmup, False),
        30: (TType.STRUCT, "fetch", Fetch, False),
        31: (TType.STRUCT, "document", Document, False),
        32: (TType.STRUCT, "run", Run, False),
        33: (TType.STRUCT, "run_reply", RunReply, False),
        34: (TType.STRUCT, "locate", Locate, False),
        35: (TType.STRUCT, "not_held", NotHeld, False),
        36: (TType.STRUCT, "list_addresses", ListAddresses, False),
        37: (TType.STRUCT, "held_addresses", HeldAddresses, False),
        40: (TType.STRUCT, "fetch_history", FetchHistory, False),
        41: (TType.STRUCT, "history", History, False),
    }

    def __init__(
        self,
        sender=None,
        sequence=None,
        sent=None,
        forward=None,
        answer=None,
        hint=None,
        reset=None,
        claim=None,
        claim_reply=None,
        register_flows=None,
        release=None,
        status=None,
        probe=None,
        probe_reply=None,
        reserve=None,
        reserve_reply=None,
        cancel=None,
        grant=None,
        register_reply=None,
        loads=None,
        accepted=None,
        declined=None,
        warmup=None,
        fetch=None,
        document=None,
        run=None,
        run_reply=None,
        locate=None,
        not_held=None,
        list_addresses=None,
        held_addresses=None,
        fetch_history=None,
        history=None,
    ):
        self.sender = sender
        self.sequence = sequence
        self.sent = sent
        self.forward = forward
        self.answer = answer
        self.hint = hint
        self.reset = reset
        self.claim = claim
        self.claim_reply = claim_reply
        self.register_flows = register_flows
        self.release = release
        self.status = status
        self.probe = probe
        self.probe_reply = probe_reply
        self.reserve = reserve
        self.reserve_reply = reserve_reply
        self.cancel = cancel
        self.grant = grant
        self.register_reply = register_reply
        self.loads = loads
        self.accepted = accepted
        self.declined = declined
        self.warmup = warmup
        self.fetch = fetch
        self.document = document
        self.run = run
        self.run_reply = run_reply
        self.locate = locate
        self.not_held = not_held
        self.list_addresses = list_addresses
        self.held_addresses = held_addresses
        self.fetch_history = fetch_history
        self.history = history


class FlowReset(TPayload):
    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "kind", False),
        2: (TType.STRING, "reason", False),
        3: (TType.I32, "retry_after", False),
        4: (TType.BINARY, "quoted", False),
    }

    def __init__(
        self,
        kind=None,
        reason=None,
        retry_after=None,
        quoted=None,
    ):
        self.kind = kind
        self.reason = reason
        self.retry_after = retry_after
        self.quoted = quoted
