# What size costs: 300 routers and 999 db nodes, and 2,001 nodes, with a zone lost at the busiest hour.
#
#     plovercove-experiments run experiments/scale.star --strict

seconds = 30
clients = {"load": 0.6}
window = (8, 28)

def _zones(nodes, routers):
    return [{"name": z, "nodes": nodes, "routers": routers} for z in ["a", "b", "c"]]

_lost = [{"at": 8, "until": 14, "what": {"zone_down": {"zone": "a"}}}]

cases = {
    "calm-36": {"zones": _zones(12, 10)},
    "calm-999": {"zones": _zones(333, 100)},
    "lost-999": {"zones": _zones(333, 100), "faults": _lost},
    "lost-2001": {"seconds": 22, "zones": _zones(667, 100), "faults": _lost},
}
