# 66 router processes and 24 db nodes at the default times: a node dies, then a zone of routers is killed and comes back.
#
#     plovercove-experiments faults experiments/faults-many.star --json FILE     # CPU and datagrams a router and second are in it

peers = {"evidence_s": 8.0, "datagrams_per_s": 80}
zones = [{"name": z, "routers": 22, "nodes": 8} for z in ["a", "b", "c"]]
rate = 400
wires = False
seconds = 12
each = 1
def _fault(at, until, **what):
    return {"at": at, "until": until, "what": what}
cases = {"many": {"out": ["s4"], "faults": [_fault(3, 9, node_silent = {"nodes": ["s4"]}), _fault(10, 11, kill = {"routers": ["a"]})]}}
