# Each guard of the verdicts, where it matters: good with the guard, broken without it, by the check that is named.
#
#     plovercove-experiments faults experiments/faults-guards.star --case third
#     plovercove-experiments faults experiments/faults-guards.star --case third --without third   # a router built for tests

peers = {
    "probe_ms": 300,
    "answer_ms": 100,
    "suspect_ms": 1200,
    "gossip_ms": 60,
    "repair_ms": 300,
    "late_ms": 500,
    "evidence_s": 4.0,
    "failures": 4,
    "datagrams_per_s": 200,
    "bytes_per_s": 80000,
}

def _fault(at, until, **what):
    return {"at": at, "until": until, "what": what}

_most = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"]

cases = {
    # Strangers accuse s4, which nobody asks.
    "tag": {"clients": ["n0"], "rate": 4, "faults": [_fault(0.5, 5, flood = {"routers": ["*"], "rate": 100})]},
    # One router alone asks, and cannot reach s4; all stand in one zone.
    "observers": {
        "zones": [{"name": "a", "routers": 5, "nodes": 9}],
        "clients": ["n0"],
        "rate": 60,
        "wait_s": 3,
        "peers": {"failures": 2, "evidence_s": 30.0},
        "faults": [_fault(0.5, 9, wires = {"routers": ["n0"], "nodes": ["s4"]})],
    },
    # The routers of one zone alone ask, and cannot reach s4.
    "one-zone": {"clients": ["a"], "rate": 120, "peers": {"failures": 2}, "faults": [_fault(0.5, 5, wires = {"routers": ["a"], "nodes": ["s4"]})]},
    # Two routers in two zones are cut off from nearly all, and they alone ask.
    "blame": {
        "clients": ["n0", "n3"],
        "rate": 120,
        "faults": [_fault(0.5, 5, wires = {"routers": ["n0", "n3"], "nodes": _most})],
    },
    # They are cut off from four of the nine: more than a third, and five still answer.
    "blame-four": {
        "clients": ["n0", "n3"],
        "rate": 120,
        "faults": [_fault(0.5, 5, wires = {"routers": ["n0", "n3"], "nodes": ["s4", "s5", "s7", "s8"]})],
    },
    # Two of three members die.
    "third": {"faults": [_fault(0.5, 5, node_silent = {"nodes": ["s4", "s5"]})]},
    # A primary is slow.
    "primary": {"rate": 360, "faults": [_fault(0.5, 6, node_slow = {"nodes": ["s3"], "ms": 250})]},
    # A node is well again, and most who accused it do not ask it any more.
    "age": {"wait_s": 9, "faults": [_fault(0.5, 8, node_silent = {"nodes": ["s4"]})]},
}
