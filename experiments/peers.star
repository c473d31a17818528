# What talk between routers is worth: 300 routers and 120 db nodes, each case without peers and with them, same seeds.
#
#     plovercove-experiments run experiments/peers.star --seeds 1..20 --strict
#
# `mute` and `errors`: one node in fifteen takes requests in and never answers, or answers with errors, for 15 s. `slow`: one
# in eight is eight times slower. `cut`: what zone b sends to zone c is lost for 10 s. `herd`: 75 % of the routers are killed
# and come back at once while nodes are bad. `lossy` is mute with a fifth of all datagrams lost.

seconds = 30
zones = [{"name": z, "nodes": 30, "routers": 75} for z in ["a", "b", "c", "d"]]
clients = {"load": 0.6, "skew": 3.0, "group_skew": 0.3}
window = (6, 28)
variants = ["flat"]

def _at(at, until, what):
    return {"at": at, "until": until, "what": what}

_bad = {"bad": {"part": 0.0667}}
_faults = {
    "calm": [],
    "mute": [_at(8, 23, _bad)],
    "errors": [_at(8, 23, {"bad": {"part": 0.0667, "errors": 1.0}})],
    "slow": [_at(8, 23, {"slow": {"part": 0.125, "times": 8.0}})],
    "cut": [_at(8, 18, {"cut": {"from": "b", "to": "c"}})],
    "herd": [_at(8, 23, _bad)] + [_at(12, 13.5, {"routers_down": {"zone": z}}) for z in ["a", "b", "c"]],
    "zone": [_at(8, 13, {"zone_down": {"zone": "a"}})],
}

cases = {}

def _fill():
    for name, faults in _faults.items():
        cases[name + "-alone"] = {"faults": faults}
        cases[name + "-peers"] = {"faults": faults, "peers": {}}
    cases["lossy-peers"] = {"faults": _faults["mute"], "peers": {"loss": 0.2}}
    cases["calm5-peers"] = {"peers": {"loss": 0.05}}

_fill()
