# Twenty seconds on loopback: three zones of two db nodes, two routers, and a zone that is lost and comes back cold.

seconds = 20
zones = [{"name": "a", "nodes": 2, "routers": 1}, {"name": "b", "nodes": 2, "routers": 1}, {"name": "c", "nodes": 2, "routers": 0}]
node = {"cores": 2, "cold_s": 4, "cold_from": 0.25}
replication = {"members": 3}
clients = {"load": 0.35}
classes = [
    {"name": "trip-search", "share": 0.5, "work_ms": 20, "aim_ms": 300, "deadline_ms": 900, "worth": 1, "reads": {"bounded": 3000}},
    {"name": "seat-count", "share": 0.35, "work_ms": 20, "aim_ms": 300, "deadline_ms": 900, "worth": 2, "reads": "any"},
    {"name": "book-seat", "share": 0.15, "work_ms": 20, "aim_ms": 400, "deadline_ms": 3000, "worth": 3, "reads": "write"},
]
faults = [{"at": 5, "until": 10, "what": {"zone_down": {"zone": "a"}}}]
