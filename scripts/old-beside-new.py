#!/usr/bin/env python3
"""old-beside-new.py OLD_BUILD NEW_BUILD: shows that two builds of azurehill work side by side.

Both are folders with the finished programs. The script plays the platform itself: a store of rows, two replicas, and
the clients, all on loopback addresses. It shows, each way round:

  b  two azurehill-entry, one of each build, before one store: each counts the other as alive and takes replicas'
     entries and changes of them, also from the other; turns, budgets and accounts of one hold at the other; credits
     are lent between them; one whose store is cut off works through the other; one goes on when the other is killed.
  c  one azurehill-entry after the other, of the builds by turns, on the same rows, settings file and command line
     (that of deploy/system.toml): each serves and goes on with what came before.
  a  scripts/demo.sh with azurehilld of both builds in one run.
  d  azurehill-ctl explain of each build, on the logs of the other's azurehill-entry, says what the writer's own says.

One line a claim: "ok", "FAILED" with what was seen, or "not run" with the reason. Exit status 1 if any failed or was
not run. Each wait is for a condition, with a bound.
"""
import base64, collections, json, os, pathlib, random, re, shutil, signal, subprocess, sys, tempfile, threading, time
import http.client, http.server, tomllib, urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
WAIT_LIMIT_S = 20
POLL_INTERVAL_S = 0.02
FIRST_START_MS = 1_700_000_000_000
QUOTA_ACCOUNTS = [f"q{i:02}" for i in range(16)]
QUOTA_CREDITS = 6  # in a window of 5 s: 0.2 a second and 5 at once, as the settings allow nothing on top
MAX_TIMELINES = 12  # of programs, and of requests, for each log
VERDICTS = collections.Counter()


def route(prefix, kind, service, **more):
    return {"name": prefix, "hostname": "h.example", "prefix": prefix, "route_type": kind, "timeout_ms": 20000,
            "service": service, "max_attempts": 2, **more}


CONFIGURATION = {
    "version": 7, "limits": {},
    "routes": [route("/a/", "idempotent", "tools"),
               route("/turn/", "streaming", "model", retain_context=True, retention_s=60),
               route("/chat/", "streaming", "model", resumable=True, retention_s=60)],
    "services": [{"name": "tools", "max_connections": 10},
                 {"name": "model", "max_connections": 10,
                  "engine": {"slots": 8, "kv_cache_tokens": 100000, "tokens_per_event": 2}}],
    "tenants": [{"name": name, "api_keys": [name + "-key"]} for name in ("team", "rest")]
    + [{"name": name, "api_keys": [name + "-key"], "rate_per_s": 0.2, "burst": 5} for name in QUOTA_ACCOUNTS]}


def check(holds, seen):
    if not holds:
        raise AssertionError(seen)


def wait_for(what, condition):
    """Waits until the condition holds; "what" is a text, or makes one at the end."""
    end = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        check(time.monotonic() < end, f"not within {WAIT_LIMIT_S} s: {what() if callable(what) else what}")
        time.sleep(POLL_INTERVAL_S)


def tell(verdict, text):
    VERDICTS[verdict] += 1
    print(verdict, " ".join(text.split()), flush=True)


def show(title, steps):
    """Runs (claim, action) in order. What comes after a failed start has nothing to show."""
    is_blocked = False
    for claim, action in steps:
        if is_blocked:
            tell("not run:", f"{title}: {claim}: a process that it needs did not start or end")
            continue
        try:
            tell("ok", f"{title}: {claim} {action() or ''}")
        except Exception as e:  # whatever goes wrong is what was seen
            tell("FAILED", f"{title}: {claim}: {e if isinstance(e, AssertionError) else repr(e)}")
            is_blocked = claim.startswith("start")


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request, with its body, to the server's owner."""
    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def do_POST(self):
        self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.answer(self)

    do_GET = do_POST

    def reply(self, headers, body, status=200):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass  # the other side was killed or has closed

    log_message = lambda *_: None


def listen(answer):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.answer = answer
    threading.Thread(target=server.serve_forever, args=(POLL_INTERVAL_S,), daemon=True).start()
    return server


def call(ip, port, method, path, body=None, headers=None):
    """Returns status and body; the status is 0 if no whole answer came."""
    connection = http.client.HTTPConnection(ip, port, timeout=WAIT_LIMIT_S)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException) as e:
        return 0, repr(e)
    finally:
        connection.close()


class Store:
    """The platform's store of rows. Each daemon has a port of its own, so that one can be cut off."""

    def __init__(self, spans_parts):
        self.spans_parts, self.rows, self.history, self.version = spans_parts, {}, [], 0
        self.changed, self.servers, self.cut = threading.Condition(), [], set()

    def open_for(self, daemon_name):
        self.servers.append(listen(lambda request: self.answer(request, daemon_name)))
        return self.servers[-1].server_port

    def write(self, table, key, value):
        """Writes a row of no part, or removes it if the value is None."""
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.apply({"expected_rev": [], "set_keys": [row] if value else [], "remove": [] if value else [row]})

    def table(self, wanted):
        """Returns the values in a table by part."""
        with self.changed:
            return {part: json.loads(base64.b64decode(row["value"]))
                    for (table, part, _), row in self.rows.items() if table == wanted}

    def apply(self, t):
        """Returns the status and the rows to answer with."""
        def name(row):
            return row["table"], row["part"], row["key"]
        parts = {row["part"] for kind in ("expected_rev", "set_keys", "remove") for row in t[kind]}
        if len(parts) > 1 and not (self.spans_parts and t.get("across")):
            return 400, []
        with self.changed:
            found = [(self.rows.get(name(c)), c["ver"]) for c in t["expected_rev"]]
            if any((row["ver"] if row else 0) != version for row, version in found):
                return 412, [row for row, _ in found if row]
            self.version += 1
            for w in t["set_keys"]:
                self.rows[name(w)] = {**w, "ver": self.version}
                self.history.append(self.rows[name(w)])
            for r in t["remove"]:
                if self.rows.pop(name(r), None):
                    self.history.append({**r, "value": "", "ver": self.version, "deleted": True})
            self.changed.notify_all()
        return 200, []

    def read(self, table, part, limit, **bounds):
        low, high = bounds.get("from", ""), bounds.get("to")
        rows = [row for name, row in sorted(self.rows.items())
                if name[:2] == (table, part) and name[2] >= low and (not high or name[2] < high)]
        check(len(rows) <= int(limit), "more rows than one answer holds")
        return rows

    def feed(self, table, after, wait_ms):
        def news():
            return [row for row in self.history if row["table"] == table and row["ver"] > int(after)]
        self.changed.wait_for(news, int(wait_ms) / 1000)
        return news()

    def answer(self, request, daemon_name):
        url = urllib.parse.urlsplit(request.path)
        status, rows = 200, []
        with self.changed:
            if daemon_name not in self.cut:
                if url.path == "/azurehill/rows-tx":
                    status, rows = self.apply(json.loads(request.body))
                else:
                    look = {"/azurehill/rows-get": self.read, "/azurehill/rows-feed": self.feed}[url.path]
                    rows = look(**dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True)))
            page = {"rows": rows, "has_more": False, "ver": self.version, "now_ms": int(time.time() * 1000)}
            if daemon_name in self.cut:
                request.close_connection = True
                return
        body = json.dumps(page).encode()
        request.reply({"Content-Type": "application/json", "Content-Length": len(body)}, body, status)


class Replica:
    """Answers plain calls with "whole" and turns with a stream, and keeps what arrived."""

    def __init__(self, service):
        self.service, self.server, self.arrived = service, listen(self.answer), {}
        self.may_answer = threading.Event()
        self.may_answer.set()

    def row(self, state="ready", born=FIRST_START_MS, sequence=1):
        return {"service": self.service, "address": f"127.0.0.1:{self.server.server_port}", "zone": "z",
                "slots": 4, "state": state, "seq_no": sequence, "born": born}

    def answer(self, request):
        ident = request.headers["X-Azurehill-Request-Id"]
        self.arrived[ident] = request.body.decode()
        self.may_answer.wait(WAIT_LIMIT_S)
        own = {"X-Azurehill-Request-Id": ident, "X-Azurehill-Server-Stamp": "s"}
        if self.service == "tools":
            request.reply({**own, "Content-Length": 5}, b"whole")
            return
        events = [f"id: {i}\ndata: e{i}\n\n" for i in range(1, int(request.headers["X-Events"]) + 1)]
        request.reply({**own, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"},
                      "".join(f"{len(e):x}\r\n{e}\r\n" for e in [*events, ""]).encode())


def log_lines(path):
    """Returns the log's whole lines; the last one may be half written."""
    whole = [text for text in path.read_text(errors="replace").splitlines() if text[:1] == "{" and text[-1] == "}"]
    return [json.loads(text) for text in whole]


class Daemon:
    """One azurehill-entry. It may be ended and started again, of either build, as it was."""
    logs = []  # (label of the build, path) of all that were started

    def __init__(self, world, name, ip):
        self.world, self.name, self.ip, self.process, self.folder = world, name, ip, None, world.folder / name
        self.folder.mkdir()
        (self.folder / "settings.toml").write_text(
            f"node_name = '{name}'\nip = '{ip}'\nzone = 'z'\nport_range = [7100, 7199]\n"
            f"[listen]\nfront = '{ip}:7001'\nready = '{ip}:7002'\ncontrol = '{ip}:7003'\ndirectory = '{ip}:7004'\n"
            "[bounds]\ngrace_s = 2\nquota_overage = 0\nquota_slack = 0\n"
            f"[provider]\naddress = '127.0.0.1:{world.store.open_for(name)}'\n"
            f"across = {str(world.store.spans_parts).lower()}\n")

    def start(self, label, build):
        """Runs the deploy file's command line in a folder whose "target" is the build."""
        role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["entry"]
        self.metrics_port, self.metrics_path = role["metrics"].split("/")
        (self.folder / "target").unlink(missing_ok=True)
        (self.folder / "target").symlink_to(build)
        self.log = self.folder / f"{len(Daemon.logs)}-{label}.log"
        Daemon.logs.append((label, self.log))
        with open(self.log, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(role["run"].split(), cwd=self.folder, stdout=log, stderr=log,
                                            env={**os.environ, "AZUREHILL_SETTINGS": "settings.toml"})
        wait_for(lambda: f"{self.name} ready; its log ends: {self.log.read_text()[-300:]}",
                 lambda: self.process.poll() is not None or call(self.ip, 7002, "GET", "/azurehill/ready")[0] == 200)
        check(self.process.poll() is None, f"exit status {self.process.returncode}: {self.log.read_text()[-300:]}")

    def end(self, number):
        """Ends it by the signal. It has to stop well where that leaves it the choice."""
        self.process.send_signal(number)
        wait_for(f"the end of {self.name}", lambda: self.process.poll() is not None)
        wanted = -number if number == signal.SIGKILL else 0
        check(self.process.returncode == wanted, f"exit status {self.process.returncode}")

    def gauge(self, what):
        text = call(self.ip, int(self.metrics_port), "GET", "/" + self.metrics_path)[1]
        found = re.search(rf'^azurehill_state\{{what="{what}"\}} (\S+)$', text, re.MULTILINE)
        return float(found[1]) if found else None

    def wait_gauge(self, what, value):
        wait_for(lambda: f"{what} {value} at {self.name}, seen {self.gauge(what)}", lambda: self.gauge(what) == value)

    def lines(self, event, **fields):
        wanted = {"event": event, **fields}.items()
        return [line for line in log_lines(self.log) if wanted <= {k: str(v) for k, v in line.items()}.items()]

    def ask(self, path, ident, body="", key="team-key", **headers):
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return call(self.ip, 7001, "POST", path, body, {
            "Host": "h.example", "X-Azurehill-Request-Id": ident, "Authorization": f"Bearer {key}", **fields})

    def plain(self, account="team"):
        return self.ask("/a/x", self.world.new_id(), key=account + "-key")


class Program:
    """A program's turns one after the other, each with the history that its replica has to get."""

    def __init__(self, world, budget=1000, events=2):
        self.world, self.name, self.history, self.last = world, world.new_id(), "", None
        self.budget, self.events = str(budget), events

    def ask(self, daemon, path="/turn/1", key="team-key", text="in;"):
        ident = self.world.new_id()
        headers = {"X_Azurehill_Previous_Turn": self.last} if self.last else {}
        return ident, *daemon.ask(path, ident, text, key, X_Azurehill_Program_Id=self.name, X_Events=str(self.events),
                                  X_Azurehill_Token_Budget=self.budget, X_Azurehill_Token_Usage="100,40", **headers)

    def turns(self, *daemons):
        for daemon in daemons:
            text = f"said at {daemon.name};"
            ident, status, body = self.ask(daemon, text=text)
            check(status == 200 and f"data: e{self.events}\n" in body, f"{daemon.name}: status {status}: {body}")
            prompt, arrived = self.history + text, self.world.model.arrived.get(ident)
            check(arrived == prompt, f"the replica got {arrived!r} of {daemon.name}, wanted {prompt!r}")
            self.history = prompt + "".join(f"e{i}\n" for i in range(1, self.events + 1))
            self.last = ident
        return self

    def gets(self, status, daemon, **how):
        _, seen, body = self.ask(daemon, **how)
        check(seen == status, f"{daemon.name}: status {seen} in place of {status}: {body}")


class World:
    """A store with configuration and two replicas, and daemons of these names."""

    def __init__(self, folder, spans_parts, names):
        self.folder, self.ids, self.mark = folder, 0, f"{random.getrandbits(32):08x}"
        folder.mkdir()
        self.store, self.tool, self.model = Store(spans_parts), Replica("tools"), Replica("model")
        self.store.write("op", "config", CONFIGURATION)
        self.store.write("servers", "i-tool", self.tool.row())
        self.store.write("servers", "i-model", self.model.row())
        # A part of the loopback network of its own, so that the fixed ports meet nobody else's.
        net = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        self.daemons = {name: Daemon(self, name, f"{net}.{i}") for i, name in enumerate(names, 1)}

    def new_id(self):
        self.ids += 1
        return f"{self.mark}-{self.ids}"

    def close(self):
        for daemon in self.daemons.values():
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        for server in (*self.store.servers, self.tool.server, self.model.server):
            server.shutdown()
            server.server_close()


class Pair(World):
    """Claims b: one daemon of each build at the same time."""
    shard_of = {}  # shard of an account, which is its row's part too, once seen

    def steps(self, builds, first, second):
        """The first is the one that is killed in the end."""
        x, y = self.daemons[first], self.daemons[second]
        self.accounts, self.calm_since, self.lent_by_killed = list(QUOTA_ACCOUNTS), 0, []
        yield f"start of {first}, then {second}", lambda: [d.start(d.name, builds[d.name]) for d in (x, y)] and ""
        for claim, action in (
                ("{} counts {} as alive and names it to clients", self.alive),
                ("turns begun at {} go on at {} and back, with their history", lambda o, p: Program(self).turns(o, p, p, o) and ""),
                ("tokens spent at {} count at {}", self.budget),
                ("tokens spent at {} by a program whose caller keeps its history count at {}", self.chat_budget),
                ("a turn of {} is not there for another account at {}", lambda o, p: Program(self).turns(o).gets(404, p, key="rest-key")),
                ("{} gets credits that {} lends", self.credits),
                ("{}, its store cut off, serves turns through {}", self.through_peer),
                ("{} takes changes of replicas from {}", self.from_peer)):
            for one, other in ((x, y), (y, x)):
                yield claim.format(one.name, other.name), lambda: action(one, other)
        for what, row, is_served, event, born in (
                ("the entries of replicas", self.tool.row(), True, "replica_listed", FIRST_START_MS),
                ("that a replica drains", self.tool.row("draining", FIRST_START_MS, 2), False, "replica_draining", None),
                ("that it started again", self.tool.row(born=FIRST_START_MS + 1), True, "replica_restarted", FIRST_START_MS + 1),
                ("that it is gone", None, False, "replica_gone", None),
                ("that it is back", self.tool.row(born=FIRST_START_MS + 2), True, "replica_listed", FIRST_START_MS + 2)):
            yield f"both take in {what}", lambda: self.change(row, is_served, event, born)
        yield f"{first} lends credits before it is killed", lambda: self.note_lent(x)
        yield f"a program goes on at {second} after {first} is killed in its turn", lambda: self.kill(x, y)
        yield f"{second} goes on serving", lambda: self.serves(y)
        yield f"{second} counts {first} as gone", lambda: y.wait_gauge("members", 1)
        yield f"{second} lends the credits that {first} lent", lambda: self.takes_over(x, y)

    def alive(self, one, _):
        def named():
            return json.loads(call(one.ip, 7004, "GET", "/azurehill/resolve?name=h.example&region=r&zone=z")[1])
        one.wait_gauge("members", 2)
        wanted = {f"{d.ip}:7001" for d in self.daemons.values()}
        wait_for(lambda: f"look-up gives {wanted}, seen {named()}", lambda: set(named().get("addresses", [])) == wanted)

    def budget(self, one, other):
        # A turn uses 10 tokens and holds 40 before: 52 are enough for two turns, not for a third.
        program = Program(self, budget=52, events=5).turns(one, other)
        program.gets(402, one)
        program.gets(402, other)

    def chat_budget(self, one, other):
        program = Program(self, budget=45, events=5)
        program.gets(200, one, path="/chat/1")
        program.gets(402, other, path="/chat/1")

    def through_peer(self, one, other):
        program = Program(self).turns(other)
        self.store.cut.add(one.name)
        try:
            one.wait_gauge("store_reachable", 0)
            wait_for(lambda: f"a turn; seen {Program(self).ask(one)}", lambda: Program(self).ask(one)[1] == 200)
            program.turns(one, one)
        finally:
            self.store.cut.clear()
        one.wait_gauge("store_reachable", 1)
        self.calm_since = self.store.version
        program.turns(other, one)

    def lent_by(self, lender):
        """Returns the accounts whose shard is known and whose row names the lender."""
        rows = self.store.table("quotas")
        return [account for account, shard in self.shard_of.items() if rows[shard]["holder"] == lender.name]

    def wait_settled(self):
        """Rows of quotas move for some seconds after a start or a cut, until their holders write them anew."""
        def last_holders():
            holders = collections.defaultdict(list)
            for row in [r for r in list(self.store.history) if r["table"] == "quotas" and r["ver"] > self.calm_since]:
                value = json.loads(base64.b64decode(row["value"]))
                holders[row["part"]].append(None if value["released"] else value["holder"])
            return {part: tuple(names[-3:]) for part, names in holders.items()}
        wait_for(lambda: f"rows of quotas held by both, each for three writes; seen {last_holders()}",
                 lambda: len(last_holders()) == len(self.store.table("quotas"))
                 and set(last_holders().values()) == {(name,) * 3 for name in self.daemons})

    def credits(self, one, other):
        self.wait_settled()
        while self.accounts:
            account = self.accounts.pop(0)
            answers = [one.plain(account) for _ in range(QUOTA_CREDITS + 2)]
            statuses = [status for status, _ in answers]
            lent = statuses.count(200)
            check(0 < lent <= QUOTA_CREDITS and statuses == [200] * lent + [429] * (len(statuses) - lent),
                  f"{account} at {one.name}: {answers}, rows {self.store.table('quotas')}")
            # Rows name all accounts; only who lent had to allow itself so many credits of this one.
            shards = [shard for shard, row in self.store.table("quotas").items()
                      if row["levels"][account]["credits"] >= lent]
            check(len(shards) == 1, f"{account}: {lent} credits lent, rows that allow it: {shards}")
            self.shard_of[account] = shards[0]
            if account in self.lent_by(other):
                check(other.plain(account)[0] == 429, f"{account}: used up at {one.name}, not at {other.name}")
                return f"({lent} of {account}, then 429 at both)"
        raise AssertionError(f"none of the accounts is lent by {other.name}; shards: {self.shard_of}")

    def from_peer(self, one, _):
        """Whoever reads a change first tells the other; who that is, is left to chance each time."""
        try:
            for _ in range(60):
                before = len(one.lines("replicas_adopted"))
                self.store.write("servers", "i-extra", self.tool.row(born=FIRST_START_MS + self.store.version))
                wait_for("a change of i-extra", lambda: len(one.lines("replicas_adopted")) > before)
                if one.lines("replicas_adopted", source="peer"):
                    return
            raise AssertionError("60 changes, none taken from the other")
        finally:
            self.store.write("servers", "i-extra", None)

    def change(self, row, is_served, event, born):
        self.store.write("servers", "i-tool", row)
        fields = {"replica": "i-tool", **({"born": str(born)} if born else {})}
        for d in self.daemons.values():
            wait_for(f"{event} {fields} at {d.name}", lambda: d.lines(event, **fields))
            wait_for(lambda: f"{d.name} serves: {is_served}, seen {d.plain()}",
                     lambda: (d.plain() == (200, "whole")) == is_served)

    def note_lent(self, x):
        self.wait_settled()
        self.lent_by_killed = self.lent_by(x)
        check(self.lent_by_killed, f"no account is known that {x.name} lends: {self.shard_of}")

    def kill(self, x, y):
        program, answers = Program(self).turns(x, x), []
        self.model.may_answer.clear()
        client = threading.Thread(target=lambda: answers.append(program.ask(x, text="cut;")), daemon=True)
        client.start()
        try:
            wait_for("the turn at the replica", lambda: "cut;" in "".join(list(self.model.arrived.values())))
            x.end(signal.SIGKILL)
        finally:
            self.model.may_answer.set()
        client.join(WAIT_LIMIT_S)
        check(answers and answers[0][1] == 0, f"the turn that was cut: {answers}")
        program.turns(y, y)

    def serves(self, y):
        seen = [y.plain() for _ in range(10)]
        check(seen == [(200, "whole")] * 10, str(seen))
        Program(self).turns(y, y)

    def takes_over(self, x, y):
        check(self.lent_by_killed, f"no account is known that {x.name} lent")
        for account in self.lent_by_killed:
            wait_for(f"a credit of {account}", lambda: y.plain(account)[0] == 200)
            check(account in self.lent_by(y), f"{account}: {self.store.table('quotas')}")
        wait_for("the line quota_taken", lambda: y.lines("quota_taken", holder=x.name))
        return f"({', '.join(self.lent_by_killed)})"


class Chain(World):
    """Claims c: one daemon, ended and started again, of the builds by turns."""

    def steps(self, builds, first, second):
        daemon, programs, before = self.daemons["e"], [], ""
        ends = (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL, signal.SIGKILL, signal.SIGTERM)
        for label, number in zip((first, second, first, second, first), ends):
            yield f"start of {label}{before}", lambda: daemon.start(label, builds[label])
            yield f"{label}{before} serves, with metrics where the deploy file has them", lambda: self.serves(daemon)
            if before:
                yield f"{label}{before} goes on with the programs of all before", lambda: self.go_on(daemon, programs)
            yield f"{label}{before} lends credits and begins programs", lambda: self.begin(daemon, programs)
            yield f"start of the next: {label}{before} ends", lambda: daemon.end(number)
            before = f" after {label}'s {number.name}"

    def serves(self, daemon):
        seen = daemon.plain(), daemon.gauge("config_version"), daemon.gauge("replicas")
        check(seen == ((200, "whole"), 7, 2), f"answer, version of the configuration, replicas: {seen}")

    def begin(self, daemon, programs):
        programs.append(Program(self).turns(daemon))
        self.spent = Program(self, budget=45, events=5).turns(daemon)
        for account in QUOTA_ACCOUNTS:
            wait_for(f"a credit of {account}", lambda: daemon.plain(account)[0] == 200)

    def go_on(self, daemon, programs):
        for program in programs:
            program.turns(daemon, daemon)
        self.spent.gets(402, daemon)
        return f"({len(programs)}, and one has no budget left)"


def nothing_unread():
    bad = [line for _, path in Daemon.logs for line in log_lines(path)
           if "unreadable" in json.dumps(line) or line.get("level") == "error"]
    check(not bad, f"{len(bad)} lines, the first: {bad[:1]}")
    return f"({sum(len(log_lines(path)) for _, path in Daemon.logs)} lines of {len(Daemon.logs)} processes)"


def demo(folder, builds, of_centre, rest):
    """Runs scripts/demo.sh on a folder of the rest's programs, with azurehilld by data centre."""
    folder.mkdir()
    for program in ("azurehill-standin", "azurehill-ctl", "azurehill-demo"):
        (folder / program).symlink_to(builds[rest] / program)
    cases = "".join(f'*" --data-centre {centre} "*) echo {label} >>"{folder}/taken"; '
                    f'exec "{builds[label]}/azurehilld" "$@";;\n' for centre, label in of_centre.items())
    (folder / "azurehilld").write_text(f'#!/bin/sh\ncase " $* " in\n{cases}esac\nexit 2\n')
    (folder / "azurehilld").chmod(0o755)
    process = subprocess.Popen([REPOSITORY / "scripts/demo.sh", folder], stdout=subprocess.PIPE, text=True,
                               stderr=subprocess.STDOUT, start_new_session=True)
    try:
        output = process.communicate(timeout=6 * WAIT_LIMIT_S)[0]
    finally:
        if process.poll() is None:
            os.killpg(process.pid, signal.SIGTERM)
    taken = (folder / "taken").read_text().split() if (folder / "taken").exists() else []
    check(process.returncode == 0 and output.rstrip().endswith(" 0 lost, 0 duplicated")
          and sorted(taken) == sorted(of_centre.values()),
          f"exit status {process.returncode}, daemons of {taken}: {output[-400:]}")
    return f"({output.splitlines()[-1]})"


def explain(builds, reader, writer):
    """The reader's explain on the writer's logs, compared with the writer's own."""
    compared, logs = 0, [path for label, path in Daemon.logs if label == writer]
    for path in logs:
        named = [sorted({line[k] for line in log_lines(path) if line.get(k)}) for k in ("program", "request")]
        for ident in named[0][:MAX_TIMELINES] + named[1][:MAX_TIMELINES]:
            own, others = (subprocess.run([builds[b] / "azurehill-ctl", "explain", ident, path], capture_output=True,
                                          timeout=WAIT_LIMIT_S, check=False) for b in (writer, reader))
            check(own.returncode == 0 and b" * " in own.stdout, f"{ident}: the writer's own gives {own}")
            check((own.returncode, own.stdout, own.stderr) == (others.returncode, others.stdout, others.stderr),
                  f"{ident}: {own} and {others}")
            compared += 1
    check(compared, f"no ids in {len(logs)} logs")
    return f"({compared} stories from {len(logs)} logs)"


def show_all(builds, folder):
    both_ways = (("old", "new"), ("new", "old"))
    for first, second in both_ways:
        for kind, names, letter in ((Pair, ("old", "new"), "b"), (Chain, ("e",), "c")):
            world = kind(folder / f"{letter}-{first}", first == "old", names)
            try:
                spans = "spans" if world.store.spans_parts else "does not span"
                show(f"{letter}, {first} first, a store that {spans} parts", world.steps(builds, first, second))
            finally:
                world.close()
    show("b and c", [("no process met anything that it could not read", nothing_unread)])
    for x, y in both_ways:
        centres = {"riohacha": x, "valledupar": y, "maicao": x}
        show("a", [(f"demo.sh with azurehilld of {x}, {y} and {x}, the rest of {y}",
                    lambda: demo(folder / f"a-{x}", builds, centres, y))])
        show("d", [(f"explain of {x} tells of {y}'s azurehill-entry what {y}'s own does",
                    lambda: explain(builds, x, y))])


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__.splitlines()[0])
    builds = {label: pathlib.Path(path).resolve() for label, path in zip(("old", "new"), sys.argv[1:])}
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="old-beside-new-"))
    try:
        show_all(builds, folder)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print("old-beside-new: " + ", ".join(f"{VERDICTS[v]} {v.rstrip(':')}" for v in ("ok", "FAILED", "not run:")))
    sys.exit(1 if VERDICTS["FAILED"] + VERDICTS["not run:"] else 0)


if __name__ == "__main__":
    main()
