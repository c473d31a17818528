# A much larger fleet: 100 routers and 60 db nodes. Half of all routers are killed at once while nodes restart, a zone is lost
# and returns cold, six in ten nodes restart within 7 s. The model has no new nodes under new names: its nodes come back
# cold under their own. docs/larger-fleet.md says where it and the days at size disagree.
#
#     plovercove-experiments run experiments/larger-fleet.star --strict

seconds = 30
zones = [{"name": z, "nodes": 30, "routers": 50} for z in ["a", "b"]]
clients = {"load": 0.6}
window = (8, 28)
variants = ["flat"]

def _down(zone, at, until, part = 1.0):
    return {"at": at, "until": until, "what": {"zone_down": {"zone": zone, "part": part}}}

cases = {
    "calm": {"faults": []},
    "herd": {"faults": [
        _down("a", 9, 11, 0.3),
        {"at": 12, "until": 13, "what": {"routers_down": {"zone": "a"}}},
        _down("b", 13, 15, 0.3),
    ]},
    "zone": {"faults": [_down("a", 9, 14)]},
    "join": {"faults": [_down("a", 9, 11, 0.6), _down("b", 14, 16, 0.6)]},
}
