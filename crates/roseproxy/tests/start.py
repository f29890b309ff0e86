"""Checks that the program starts by the command of the deploy file, is ready, reloads, and ends in order.

The first argument is the shell command that starts the program.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

CLASSES = [
    {"name": "quote", "aim": 600000, "give_up": 1500000, "worth": 2.0, "effect": "retryable"},
    {"name": "place-order", "aim": 500000, "give_up": 2000000, "worth": 8.0, "effect": "fragile"},
]
SETTINGS = {
    "discovery": "on_request",
    "fleet_size": 1,
    "locality": "a",
    "limits": {"cancel": True, "max_attempts": 3, "max_retry_after": 1000000, "probes": True,
               "retry_after": True, "second_copies": True},
    "obligations": {"cold_from": 0.12, "fall_multiple": 4.0, "grace_to_answer": 20000, "warm_up": 23000000},
    "report": {"how": "on_probe", "names": ["active"]},
    "request_classes": CLASSES,
}
MEMBER = {"id": "s-1", "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m", "cell": 0,
          "phase": "in_service", "size": 1.0, "up_since_ms": 0}

# Time within which a started sidecar has to be ready.
READY_TIMEOUT_S = 30


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def wait_until_ready(url, program):
    """Polls the program, as applications do, until it is ready or the time limit is over; returns the last status.

    Exits with an error if the program ends first.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    status = 0
    while program.poll() is None:
        try:
            return urllib.request.urlopen(url, timeout=30).status
        except urllib.error.HTTPError as answer:
            status = answer.code
        except OSError:
            pass
        if time.monotonic() > deadline:
            return status
        time.sleep(0.01)
    sys.exit("the program ended before it was ready")


def main():
    listen = f"127.0.0.1:{free_port()}"
    config = {"name": "n0", "listen": listen, "discovery": f"127.0.0.1:{free_port()}", "seed": "8c1f",
              "known": {"revision": 1, "complete": True, "members": [MEMBER]}, "settings": SETTINGS}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config, file)
        file.flush()
        env = {**os.environ, "LB_CONFIG": file.name}
        program = subprocess.Popen(["/bin/sh", "-c", sys.argv[1]], env=env, stderr=subprocess.PIPE, text=True)
        status = wait_until_ready(f"http://{listen}/health/ready", program)
        # Two reloads: one of a faulty file, which changes nothing, and one with another address of discovery.
        for text in ["{", json.dumps({**config, "discovery": f"127.0.0.1:{free_port()}"})]:
            file.seek(0)
            file.truncate()
            file.write(text)
            file.flush()
            program.send_signal(signal.SIGHUP)
            for line in program.stderr:
                if "configuration" in line:
                    break
        status = max(status, wait_until_ready(f"http://{listen}/health/ready", program), key=lambda code: code != 200)
        program.send_signal(signal.SIGTERM)
        log = program.communicate()[1]
    expected = ["flows_taken 0", "reloads 1", "reloads_faulty 1"]
    if status != 200 or program.returncode != 0 or not all(line in log for line in expected):
        sys.exit(f"ready {status}, exit {program.returncode}, log:\n{log}")
    print("the program starts, is ready, reloads, and ends in order")


main()
