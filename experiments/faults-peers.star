# Routers that know each other, and what breaks them: real processes, links between them, and a checker that reads logs.
#
#     plovercove-experiments faults experiments/faults-peers.star
#
# Times are short so that a case takes seconds: probes every 300 ms, evidence that lives for 4 s.

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

_cut = {"cut": True}

def _fault(at, until, **what):
    return {"at": at, "until": until, "what": what}

cases = {
    "random": {"random": 5, "rate": 180},
    "calm": {},
    "node-dies": {
        "out": ["s4"],
        "faults": [_fault(1, 6, node_silent = {"nodes": ["s4"]})],
    },
    "node-dies-lossy": {
        "out": ["s4"],
        "faults": [
            _fault(0, 8, link = {"from": ["*"], "to": ["*"], "weather": {"loss": 0.2}}),
            _fault(1, 6, node_silent = {"nodes": ["s4"]}),
        ],
    },
    "one-way-cut": {"faults": [_fault(0.5, 6, link = {"from": ["a"], "to": ["b"], "weather": _cut})]},
    "stopped": {"faults": [
        _fault(0.5, 10.5, stop = {"routers": ["n4"]}),
        _fault(0.5, 4, node_silent = {"nodes": ["s4"]}),
    ]},
    "duty": {"faults": [_fault(0.5, 8, duty = {"routers": ["n2"], "on_ms": 150, "off_ms": 350})]},
    "join-storm": {"faults": [_fault(0.5, 1.5, kill = {"routers": ["n0", "n1", "n2", "n4", "n5", "n7"]})]},
    "partition": {"faults": [
        _fault(0.5, 12, partition = {"parts": [["a"], ["b", "c"]]}),
        _fault(1, 5, node_silent = {"nodes": ["s4"]}),
        _fault(2, 3, node_down = {"nodes": ["s7"]}),
    ]},
    "bad-switch": {"faults": [_fault(0.5, 6, wires = {"routers": ["a"], "nodes": ["s4", "s7"]})]},
    "one-class": {"faults": [_fault(0.5, 6, node_errors = {"nodes": ["s4"], "class": "look"})]},
    "address-again": {"faults": [
        _fault(0.5, 3, node_silent = {"nodes": ["s4"]}),
        _fault(3, 3, rename = {"node": "s4"}),
    ]},
    "thrice": {"faults": [
        _fault(0.5, 0.7, kill = {"routers": ["n3"]}),
        _fault(1.0, 1.2, kill = {"routers": ["n3"]}),
        _fault(1.5, 1.7, kill = {"routers": ["n3"]}),
    ]},
    "flood": {"faults": [_fault(0.5, 5, flood = {"routers": ["*"], "rate": 300})]},
    "late": {"faults": [
        _fault(0.5, 6, link = {"from": ["a"], "to": ["*"], "weather": {"delay_ms": 50, "jitter_ms": 5000, "duplicate": 0.2}}),
        _fault(1, 5, node_silent = {"nodes": ["s4"]}),
    ]},
    "rolling": {"faults": [_fault(0.5, 12, rolling = {"routers": ["*"]})]},
    "twin": {"faults": [_fault(0.5, 3, twin = {"router": "n5"})]},
    "back-while-bad": {
        "out": ["s4"],
        "clients": ["n0", "n1", "n3", "n4", "n6"],
        "faults": [
            _fault(0.5, 14, node_silent = {"nodes": ["s4"]}),
            _fault(3, 4, kill = {"routers": ["n8"]}),
        ],
    },
    "zone-killed": {"faults": [_fault(0.5, 4, kill = {"routers": ["b"]})]},
}
