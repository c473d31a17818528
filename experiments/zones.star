# Losing a whole zone: three zones, 36 db nodes, 30 routers, the busiest hour at 60 % of what all nodes can do.
#
#     plovercove-experiments run experiments/zones.star --seeds 1..20

seconds = 62
zones = [{"name": z, "nodes": 12, "routers": 10} for z in ["a", "b", "c"]]
clients = {"load": 0.6}
window = (15, 60)
variants = ["flat", "strict", "tiers"]

def _down(zone, at = 15, until = 30, part = 1.0):
    return {"at": at, "until": until, "what": {"zone_down": {"zone": zone, "part": part}}}

def _flaps(period):
    return [_down("a", at, at + period / 2.0) for at in [15 + n * period for n in range(int(20 / period))]]

def _silent(zone = ""):
    return {"at": 14, "until": 50, "what": {"list_silent": {"zone": zone}}}

cases = {
    "calm": {"faults": [], "clients": {"load": 0.4}},
    "zone-lost": {"faults": [_down("a")]},
    # Members of a group are dealt out in turn, so a third of all primaries stand in each zone; with one group's worth of
    # nodes in a small zone there is none.
    "no-primary": {
        "zones": [{"name": "a", "nodes": 6, "routers": 6}, {"name": "b", "nodes": 15, "routers": 12}, {"name": "c", "nodes": 15, "routers": 12}],
        "faults": [_down("a")],
    },
    "flap-2s": {"faults": _flaps(2)},
    "flap-5s": {"faults": _flaps(5)},
    "flap-10s": {"faults": _flaps(10)},
    "flap-30s": {"seconds": 75, "window": (15, 73), "faults": [_down("a", 15, 30), _down("a", 45, 50)]},
    "black-hole": {"faults": [{"at": 15, "until": 30, "what": {"black_hole": {"zone": "a"}}}]},
    "one-way-cut": {"faults": [{"at": 15, "until": 30, "what": {"cut": {"from": "a", "to": "b"}}}]},
    "half-zone": {"faults": [_down("a", part = 0.5)]},
    "two-zones": {"faults": [_down("a"), _down("b")]},
    "routers-too": {"faults": [_down("a"), {"at": 15, "until": 33, "what": {"routers_down": {"zone": "a"}}}]},
    "cold-and-rollout": {"faults": [_down("a"), {"at": 28, "until": 45, "what": {"rollout": {"down_s": 0.8}}}]},
    "list-silent": {"faults": [_down("a"), _silent()]},
    "far-larger": {
        "zones": [{"name": "a", "nodes": 24, "routers": 18}, {"name": "b", "nodes": 6, "routers": 6}, {"name": "c", "nodes": 6, "routers": 6}],
        "faults": [_down("a")],
    },
}
