# A lost zone on loopback sockets: three zones of three db nodes, three routers. Small enough for CI.

seconds = 24
zones = [{"name": z, "nodes": 3, "routers": 1} for z in ["a", "b", "c"]]
node = {"cores": 2, "cold_s": 4, "cold_from": 0.25}
replication = {"members": 3}
clients = {"load": 0.35}
classes = [
    {"name": "trip-search", "share": 0.5, "work_ms": 20, "aim_ms": 300, "deadline_ms": 900, "worth": 1, "reads": {"bounded": 3000}},
    {"name": "seat-count", "share": 0.35, "work_ms": 20, "aim_ms": 300, "deadline_ms": 900, "worth": 2, "reads": "any"},
    {"name": "book-seat", "share": 0.15, "work_ms": 20, "aim_ms": 400, "deadline_ms": 3000, "worth": 3, "reads": "write"},
]
faults = [{"at": 5, "until": 10, "what": {"zone_down": {"zone": "a"}}}]
