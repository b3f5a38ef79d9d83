#!/usr/bin/env python3
"""Compares placement rules on real processes on the loopback interface.

Each variant gets its own platform stand-in, entries, agents and targets; all variants run at the
same time with the same seed and load. All processes are killed when the script exits.

    bench/placement.py --load 60 --seconds 30 --mix crates/cli/mixes/member-desk.json \
        NAME='{"policy": "random"}' ...

A variant whose name starts with "single" runs with one entry. The value is the placement section of
the rules, or the complete rules under {"rules": {...}}.
"""

import argparse
import hashlib
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

AGENTS = 11
SLOTS = 8
ENTRIES = 4
DOMAINS = ["d1", "d2", "d3", "d4"]
SECRET = "session-secret-of-the-bench"
OPERATOR = "operator-token-of-the-bench"
READY_TIMEOUT_S = 20
PORTS = range(12_000, 32_000)
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.environ.get("BENCH_BIN", os.path.join(ROOT, "target", "release"))

taken_ports = set()


def free_ports(count):
    """Picks free ports below the range that the system uses for outgoing connections."""
    ports = []
    candidates = random.sample(PORTS, len(PORTS))
    while len(ports) < count:
        port = candidates.pop()
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            ports.append(f"127.0.0.1:{port}")
    return ports


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


def get(address, path, token=None):
    request = urllib.request.Request(f"http://{address}{path}")
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=5) as reply:
        return json.load(reply)


class Cluster:
    """The processes of one variant."""

    def __init__(self, name, rules, mix, directory):
        self.name, self.mix, self.directory = name, mix, directory
        self.processes = []
        entries = 1 if name.startswith("single") else ENTRIES
        ports = free_ports(3 + 2 * entries + 3 * AGENTS)
        self.platform, self.objects, self.statsd = ports[:3]
        self.entries = ports[3 : 3 + entries]
        self.sessions = ports[3 + entries : 3 + 2 * entries]
        rest = ports[3 + 2 * entries :]
        self.agents, self.targets, self.controls = (
            rest[i * AGENTS : (i + 1) * AGENTS] for i in range(3)
        )
        self.rules = rules

    def spawn(self, name, *command):
        log = open(os.path.join(self.directory, f"{self.name}-{name}.log"), "w")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append((name, process))

    def write(self, name, value):
        path = os.path.join(self.directory, f"{self.name}-{name}.json")
        with open(path, "w") as file:
            json.dump(value, file)
        return path

    def start(self):
        service = self.mix["groups"][0]["service"]
        standin = os.path.join(BIN, "dragonflyshed-standin")
        daemon = os.path.join(BIN, "dragonflyshedd")
        self.spawn("platform", standin, "platform", "--table-address", self.platform,
                   "--object-address", self.objects, "--statsd-address", self.statsd)
        time.sleep(0.3)
        for i, (entry, session) in enumerate(zip(self.entries, self.sessions)):
            settings = {
                "entry": f"entry-{i}", "domain": DOMAINS[i % 4], "listen_address": entry,
                "session_address": session, "session_secret": SECRET,
                "store": {"table_address": self.platform, "object_address": self.objects},
            }
            self.spawn(f"entry-{i}", daemon, "entry", "--settings",
                       self.write(f"entry-{i}", settings))
        for i, agent in enumerate(self.agents):
            settings = {
                "agent": f"agent-{i}", "domain": DOMAINS[i % 4], "listen_address": agent,
                "entry_addresses": self.sessions, "session_secret": SECRET,
            }
            self.spawn(f"agent-{i}", daemon, "agent", "--settings",
                       self.write(f"agent-{i}", settings))
            self.spawn(f"target-{i}", standin, "target", "--listen", self.targets[i],
                       "--control-address", self.controls[i], "--agent", agent,
                       "--target", f"target-{i}", "--service", service, "--slots", str(SLOTS))
        self.write_config()

    def write_config(self):
        service = self.mix["groups"][0]["service"]
        groups = [{"group": g["group"], "share": g.get("share", 1.0),
                   "tokens_sha256": [digest(g["token"])], "services": [service]}
                  for g in self.mix["groups"]]
        inventory = {
            "domains": DOMAINS,
            "operators": [{"operator": "bench", "token_sha256": digest(OPERATOR)}],
            "services": [{"service": service}], "groups": groups,
        }
        tool = os.path.join(BIN, "dragonflyshed")
        self.inventory = self.write("inventory", inventory)
        self.rules_file = self.write("rules", self.rules)
        self.tool = tool

    def load(self, rate, seconds, seed, round_trip_us):
        mix = dict(self.mix)
        mix.pop("burst", None)
        mix["groups"] = [{k: v for k, v in g.items() if k != "share"} for g in mix["groups"]]
        path = self.write("mix", mix)
        command = [os.path.join(BIN, "dragonflyshed"), "load", "--token", OPERATOR,
                   "--round-trip-us", str(round_trip_us), "--output", "json",
                   "--rate-per-s", str(rate), "--duration-ms", str(int(seconds * 1000)),
                   "--seed", str(seed)]
        for entry in self.entries:
            command += ["--entry", entry]
        return subprocess.Popen(command + [path], stdout=subprocess.PIPE, text=True)

    def stop(self):
        for _, process in self.processes:
            process.kill()
        for _, process in self.processes:
            process.wait()


def wait_ready(cluster):
    deadline = time.time() + READY_TIMEOUT_S
    while time.time() < deadline:
        try:
            if all(seen_targets(cluster, entry) == AGENTS for entry in cluster.entries):
                return
        except OSError:
            pass
        time.sleep(0.2)
    raise SystemExit(f"{cluster.name}: not ready in {READY_TIMEOUT_S} s")


def seen_targets(cluster, entry):
    status = get(entry, "/v1/status", OPERATOR)
    return sum(1 for t in status["targets"] if t["target"])


def apply(cluster):
    """Applies the first inventory with the session secret, and the rules with the operator token."""
    for document, token, file, base in [("inventory", SECRET, cluster.inventory, "0"),
                                        ("rules", OPERATOR, cluster.rules_file, "1")]:
        subprocess.run([cluster.tool, document, "apply", "--entry", cluster.entries[0],
                        "--token", token, "--base", base, file], check=True, stdout=subprocess.DEVNULL,
                       timeout=READY_TIMEOUT_S)
        time.sleep(1.5)


def busy_part(starts, since_us, until_us):
    busy = 0
    for start in starts:
        begin = max(start["unix_us"], since_us)
        end = min(start["unix_us"] + start["body"]["run_ms"] * 1000, until_us)
        busy += max(0, end - begin)
    return busy / ((until_us - since_us) * AGENTS * SLOTS)


def mean_work_s(mix):
    runs, classes = mix["run_times"], mix["classes"]
    run_ms = sum(r["weight"] * (r["min_ms"] + r["max_ms"]) / 2 for r in runs)
    run_ms /= sum(r["weight"] for r in runs)

    def tasks(c):
        job = c["submit"].get("job")
        return (job["min_tasks"] + job["max_tasks"]) / 2 if job else 1

    work = sum(c["weight"] * tasks(c) for c in classes) / sum(c["weight"] for c in classes)
    return work * run_ms / 1000


def row(name, report, busy):
    ratio = report["overall"]["ratio"]
    beyond = report["overall"]["beyond_ideal_ms"]
    wide = report["classes"][-1]["ratio"] or {"p99": float("nan")}
    counted = report["messages"].get("counted")
    messages = counted["per_task"] if counted else float("nan")
    ends = {}
    for outcome in report["outcomes"]:
        key = str(outcome["outcome"]) + (" (not run)" if outcome["not_run"] else "")
        ends[key] = outcome["submissions"]
    print(f"{name:24} {ratio['mean']:7.3f} {ratio['p50']:7.3f} {ratio['p99']:7.2f} | "
          f"{beyond['p50']:8.2f} {beyond['p99']:9.1f} | {wide['p99']:6.2f} | {messages:7.3f} | "
          f"{busy:6.3f} | {report['send_lag_ms']['p99']:6.2f} | {ends}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mix", default=os.path.join(ROOT, "crates/cli/mixes/member-desk.json"))
    parser.add_argument("--load", type=float, default=60, help="percent of all slots")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=17)
    parser.add_argument("--round-trip-us", type=int, default=1000)
    parser.add_argument("variants", nargs="+")
    options = parser.parse_args()
    with open(options.mix) as file:
        mix = json.load(file)
    rate = options.load / 100 * AGENTS * SLOTS / mean_work_s(mix)
    clusters = []
    with tempfile.TemporaryDirectory() as directory:
        try:
            for text in options.variants:
                name, _, value = text.partition("=")
                rules = json.loads(value or "{}")
                rules = rules.get("rules", {"placement": rules})
                clusters.append(Cluster(name, rules, mix, directory))
                clusters[-1].start()
            for cluster in clusters:
                wait_listening(cluster)
                apply(cluster)
            for cluster in clusters:
                wait_ready(cluster)
            since = time.time() * 1e6
            loads = [c.load(rate, options.seconds, options.seed, options.round_trip_us)
                     for c in clusters]
            outputs = [load.communicate(timeout=options.seconds * 4 + 120)[0] for load in loads]
            print(f"{os.path.basename(options.mix)} at {options.load}%, {rate:.2f}/s for "
                  f"{options.seconds} s, seed {options.seed}, load average {os.getloadavg()[0]}")
            print(f"{'':24} {'mean':>7} {'p50':>7} {'p99':>7} | beyond50 beyond p99 ms | wide99 | "
                  "msg/task | busy | lag p99 | outcomes")
            for cluster, output in zip(clusters, outputs):
                starts = [s for c in cluster.controls for s in get(c, "/control/starts")]
                # Skips the first quarter of the run, in which the slots fill up.
                begin = since + options.seconds * 0.25e6
                busy = busy_part(starts, begin, since + options.seconds * 1e6)
                row(cluster.name, json.loads(output), busy)
        except (subprocess.SubprocessError, SystemExit):
            for name in sorted(os.listdir(directory)):
                if name.endswith(".log"):
                    with open(os.path.join(directory, name)) as file:
                        sys.stderr.write(f"{name}: {file.read()[-300:]}\n")
            raise
        finally:
            for cluster in clusters:
                cluster.stop()


def wait_listening(cluster):
    deadline = time.time() + READY_TIMEOUT_S
    while time.time() < deadline:
        try:
            for entry in cluster.entries:
                host, port = entry.split(":")
                socket.create_connection((host, int(port)), timeout=1).close()
            return
        except OSError:
            time.sleep(0.1)
    raise SystemExit(f"{cluster.name}: its entries do not listen")


if __name__ == "__main__":
    main()
