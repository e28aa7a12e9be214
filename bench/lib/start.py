"""Start time and memory of the platform's `serve`, as deploy/balancer.toml starts it, over several starts in turn.

With the path of another checkout that is built too, both are measured side by side, one start of each after the
other, and the last line holds both.
"""
import http.client
import json
import os
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import time

STARTS = 15


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def config(port, discovery):
    classes = [{"name": "look-up", "aim": 1000, "deadline": 2000, "worth": 1, "lateValue": 0.5,
                "idempotency": "idempotent", "streamed": False}]
    servers = [{"id": "s-%d" % i, "addr": "127.0.0.1:1", "zone": "a", "kind": "m", "cell": i, "state": "up",
                "weight": 1.0, "started_ms": 0} for i in range(20)]
    return {"name": "n0", "listen": "127.0.0.1:%d" % port, "discovery": "127.0.0.1:%d" % discovery, "seed": "1f",
            "limits": {"sockets": 1024}, "known": {"version": 1, "full": True, "servers": servers},
            "settings": {"position": 0, "siblings": 1, "tier": 0, "stages": ["front"], "zone": 0, "zones": ["a"],
                         "machineTypes": ["m"], "registryMode": "subscribe", "familyInfo": {"passesDeadline": True},
                         "callers": {"marksRetry": False}, "worthBy": "request", "overShareWorth": 1,
                         "weightKind": "silent", "stats": {"how": "silent", "fields": []}, "tenants": [],
                         "services": classes,
                         "limits": {"attemptsCap": 4, "maxOpen": 1000, "cancel": True, "parallelTries": False,
                                    "probes": False, "peers": False, "retryAfter": True, "maxRetryAfter": 2000,
                                    "connectTimeout": 100, "connIdle": 30000, "streamsPerConn": 1},
                         "rules": {"graceToAnswer": 20, "drainGrace": 2000, "askEvery": 2000, "startCapacity": 0.2,
                                   "warmUp": 20000, "fallMultiple": 3, "tipAfter": 1500},
                         "goal": {"whole": 1, "worstWindow": 0, "worstClass": 0, "worstTenant": 0},
                         "prices": {"crossZone": 0, "probe": 0, "waste": 0, "lateFail": 0, "connection": 0,
                                    "handshake": 0, "peer": 0, "registryMode": 0}}}


def rss_kb(pid):
    for line in open("/proc/%d/status" % pid):
        if line.startswith("VmRSS"):
            return int(line.split()[1])


def cpu_of(pid):
    """CPU seconds used by a process so far."""
    fields = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start(root, discovery):
    """One start: ms until health is answered, CPU seconds until then, resident MB a second later."""
    run = re.search(r'(?m)^run = "(.*)"$', open(os.path.join(root, "deploy/balancer.toml")).read()).group(1)
    port = free_port()
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as f:
        json.dump(config(port, discovery), f)
    begun = time.monotonic()
    process = subprocess.Popen(["/bin/sh", "-c", run], cwd=root, env={**os.environ, "PROXY_CONFIG": f.name},
                               stderr=subprocess.DEVNULL)
    try:
        while True:
            if process.poll() is not None:
                sys.exit("the program ended with %d" % process.returncode)
            try:
                c = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
                c.request("GET", "/_health")
                if c.getresponse().status == 200:
                    break
            except OSError:
                time.sleep(0.002)
        took = (time.monotonic() - begun) * 1000
        cpu = cpu_of(process.pid)
        time.sleep(1)
        return took, cpu, rss_kb(process.pid) / 1024
    finally:
        process.kill()
        process.wait()
        os.unlink(f.name)


def main():
    roots = {"this": os.getcwd()}
    if len(sys.argv) > 1:
        roots["other"] = os.path.abspath(sys.argv[1])
    silent = socket.socket()
    silent.bind(("127.0.0.1", 0))
    silent.listen(64)
    samples = {name: [] for name in roots}
    for round_ in range(STARTS + 1):
        for name, root in roots.items():
            one = start(root, silent.getsockname()[1])
            if round_ > 0:  # the first warms the page cache
                samples[name].append(one)
    result = {"starts": STARTS, "cores": os.cpu_count()}
    print("%-6s %10s %10s %10s %10s" % ("", "ready ms", "max", "CPU s", "RSS MB"))
    for name, rows in samples.items():
        ready, cpu, rss = ([row[i] for row in rows] for i in range(3))
        print("%-6s %10.0f %10.0f %10.2f %10.1f" % (name, statistics.median(ready), max(ready),
                                                   statistics.median(cpu), statistics.median(rss)))
        result[name] = {"ready_ms_median": round(statistics.median(ready), 1), "ready_ms_max": round(max(ready), 1),
                        "cpu_s_median": statistics.median(cpu), "rss_mb_median": round(statistics.median(rss), 1)}
    print(json.dumps(result))


main()
