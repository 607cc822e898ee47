"""Starts stand-ins and entry nodes on loopback addresses and measures their use of resources.

bench-relay and measure-slopes use this module. It needs only the standard library.
"""

import hashlib
import json
import os
import pathlib
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
PROXY = str(BUILD / "Source/sesameproxy")
STAND_INS = str(BUILD / "StandIns/sesamestandins")
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"]
ACCOUNT_KEY = "bench-key-0"
MODEL = "bench-model"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def load_average():
    return os.getloadavg()[0]


def fetch(url, body=None):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(urllib.request.Request(url, data=data), timeout=5) as reply:
        text = reply.read()
    return json.loads(text) if text else {}


def cpu_seconds(pid):
    """Returns the processor time (user and system) of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def status_value(pid, name):
    """Returns the number in the field `name` of /proc/PID/status; memory sizes are in KiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1])
    raise KeyError(name)


def fleet_text(accounts, slots):
    """Returns a fleet file with one model, one engine class and the given number of accounts."""
    lines = ["[fleet]", 'name = "bench"', f"zones = {json.dumps(ZONES)}", "[defaults]",
             "body_limit_bytes = 1048576", "entry_ttl_seconds = 10", "stream_keep_seconds = 30",
             "claim_retention_hours = 168", "claim_shards = 64", "cancel_on_disconnect = false",
             "retry_budget = 0.1", "recovery_grace_seconds = 1", "capacity_limit = 100"]
    for rank, first, floor in (("urgent", 1200, 0.0), ("standard", 4000, 0.08),
                               ("batch", 60000, 0.03)):
        lines += [f"[ranks.{rank}]", f"first_token_ms = {first}", "token_gap_ms = 57",
                  "queue_limit_ms = 60000", f"floor_share = {floor}", "worth = 1.0",
                  "objective = 0.95"]
    for n in range(accounts):
        digest = hashlib.sha256(f"bench-key-{n}".encode()).hexdigest()
        lines += ["[[account]]", f'name = "account-{n}"', f'key_sha256 = "{digest}"',
                  'ranks = ["urgent", "standard", "batch"]', "share = 1.0"]
    lines += ["[[backend_class]]", 'name = "engine"', 'kind = "model_engine"',
              'fencing = "checked"', f"slots = {slots}", "price_per_hour = 2.0",
              "[[model]]", f'name = "{MODEL}"', 'rank = "urgent"', 'backend_classes = ["engine"]']
    return "\n".join(lines) + "\n"


class Fleet:
    """An object service, a cloud, engines and nodes as processes on the addresses 127.SECOND.*.

    Leaving the context ends all processes that were started.
    """

    def __init__(self, second):
        self.second = second
        self.logs = tempfile.TemporaryDirectory()
        self.processes = []
        self.engines = {}
        self.nodes = {}
        self.store = f"http://127.{second}.0.1:7001"
        self.cloud = f"http://127.{second}.0.1:7002"

    def __enter__(self):
        self.start("objectservice", [STAND_INS, "objectservice", "--address=" + self.store[7:]])
        self.start("cloud", [STAND_INS, "cloud", "--address=" + self.cloud[7:]])
        self.wait_for(self.store + "/v1/list?prefix=fleet/")
        self.wait_for(self.cloud + "/v1/instances")
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.logs.cleanup()

    def start(self, name, command):
        with open(f"{self.logs.name}/{name}.log", "wb") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def wait_for(self, url, seconds=20):
        return self.wait_until(lambda: fetch(url) or True, seconds, url)

    @staticmethod
    def wait_until(check, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise TimeoutError(f"timed out after {seconds} s waiting for {what}")

    def add_engines(self, count, slots, token_ms):
        for n in range(len(self.engines), len(self.engines) + count):
            address = f"127.{self.second}.1.{n + 1}:9000"
            self.engines[address] = self.start(f"engine-{n}", [
                STAND_INS, "engine", "--address=" + address, f"--instance=engine-{n}",
                f"--slots={slots}", f"--token_ms={token_ms}"])

    def register_engines(self, addresses):
        """Adds the engines to the cloud's list. Engines that are not listed can only be reached directly."""
        instances = [{"id": "engine-" + address, "incarnation": 1, "kind": "engine",
                      "class": "engine", "service": "", "address": "http://" + address,
                      "zone": ZONES[n % len(ZONES)], "market": "reclaimable",
                      "price_per_hour": 2.0, "state": "running"}
                     for n, address in enumerate(addresses)]
        fetch(self.cloud + "/control/instances", {"instances": instances})

    def add_nodes(self, count):
        started = range(len(self.nodes), len(self.nodes) + count)
        for n in started:
            host = f"127.{self.second}.2.{n + 1}"
            path = f"{self.logs.name}/entry-{n}.toml"
            pathlib.Path(path).write_text(f'''node = "entry-{n}"
instance = "i-entry-{n}"
zone = "{ZONES[n % len(ZONES)]}"
caller_address = "{host}:8100"
peer_address = "{host}:8200"
operator_address = "{host}:8300"
object_service_url = "{self.store}"
cloud_url = "{self.cloud}"
peer_key = "bench-peer-key-0001"
token_key = "bench-token-key-0001"
seeds = ["127.{self.second}.2.1:8200"]
''')
            self.nodes[host] = self.start(f"entry-{n}", [PROXY, "serve", "--settings", path])
        for host in self.nodes:
            self.wait_for(f"http://{host}:8300/v1/status")

    def status(self, host):
        return fetch(f"http://{host}:8300/v1/status")

    def apply(self, accounts, slots):
        path = f"{self.logs.name}/fleet.toml"
        pathlib.Path(path).write_text(fleet_text(accounts, slots))
        done = subprocess.run(
            [PROXY, "apply", path, "--store", self.store, "--nodes",
             ",".join(host + ":8300" for host in self.nodes), "--without_nodes",
             "--wait_seconds", "15"], capture_output=True, text=True, timeout=30, check=False)
        if done.returncode != 0:
            raise RuntimeError("apply: " + done.stdout + done.stderr)

    def caller(self, target, **options):
        """Starts the load generator. `target` is its flag --entries=URLS or --direct=URL."""
        command = [STAND_INS, "caller", "chat", target, "--key=" + ACCOUNT_KEY,
                   "--model=" + MODEL, "--json"]
        command += [f"--{name}={value}" for name, value in options.items()]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        self.processes.append(process)
        return process


def read_report(process, seconds):
    out, errors = process.communicate(timeout=seconds)
    if not out:
        raise RuntimeError("load generator: " + errors.decode())
    return json.loads(out)
