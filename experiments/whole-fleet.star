# The whole fleet: 300 routers and 120 db nodes, with the days of the operators' standing test: a rolling restart of routers
# and nodes, a release that kills seven in ten routers at once, a zone that is lost, a zone that is cut off while the list
# comes late, and six in ten nodes replaced by new machines. Groups get unequal traffic, one router in five sees three times
# the others', and discovery answers only so many calls a second. docs/larger-fleet.md says where it and the days disagree.
#
#     plovercove-experiments run experiments/whole-fleet.star --strict
#
# `small` is what CI plays: 40 routers and 24 nodes, the same troubles within 20 s.

seconds = 30
zones = [{"name": z, "nodes": 30, "routers": 75} for z in ["a", "b", "c", "d"]]
clients = {"load": 0.6, "skew": 3.0, "group_skew": 0.3}
list = {"calls_per_s": 250, "call_wait_s": 2.0}
window = (6, 28)
variants = ["flat"]

def _at(at, until, what):
    return {"at": at, "until": until, "what": what}

def _replace(zone, at, until, part):
    return _at(at, until, {"replace": {"zone": zone, "part": part}})

cases = {
    "calm": {"faults": [], "clients": {"load": 0.6, "skew": 3.0, "group_skew": 0.3, "bursts": [(12, 16, 1.5)]}},
    "roll": {"faults": [_at(6, 26, {"rollout": {"down_s": 1.0}})] + [
        _replace(z, 7 + 4 * n, 9 + 4 * n, 0.5) for n, z in enumerate(["a", "b", "c", "d"])
    ]},
    "herd": {"faults": [_at(9, 10.5, {"routers_down": {"zone": z}}) for z in ["a", "b", "c"]] + [
        _at(5, 28, {"slow": {"part": 0.125, "times": 4.0}}),
    ]},
    "zone": {"faults": [_at(8, 13, {"zone_down": {"zone": "a"}}), _at(16, 21, {"cut": {"from": "b", "to": "c"}})]},
    "split": {"faults": [_at(8, 14, {"black_hole": {"zone": "b"}}), _at(8, 14, {"list_silent": {}})]},
    "join": {"faults": [_replace(z, 8 + n, 10 + n, 0.6) for n, z in enumerate(["a", "b", "c", "d"])]},
}
