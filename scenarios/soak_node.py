"""Settings file of a process in a soak, in the platform's form."""

from __future__ import annotations

NODE = """
node_id = "{name}"
ip = "127.0.0.1"
zone = "perth"
port_range = [{port}, {port}]
app = "{worker}"
[listen_addrs]
front = "{front}"
ready = "{ready}"
control = "{control}"
[platform]
address = "{store}"
parts = 16
keep_s = 300
ttl_min_ms = 1000
[bounds]
hold_max_ms = 1000
stop_ms = 50
status_s = 120
grace_s = 6
"""
