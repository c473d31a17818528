# An operators' file for an installation of three zones. It is not named in `run`: the platform has one zone.
#
#     plovercove check deploy/operators.example.star
#     plovercove --operators deploy/operators.example.star

_zones = {"thu-duc": 4, "binh-thanh": 4, "di-an": 3}  # and how many routers stand in each

tiers = {
    "zones": [{"name": name, "routers": routers} for name, routers in _zones.items()],
    # Requests of other zones may take this share of a zone, all routers together.
    "spill": 0.4,
    # Seconds of work a second that a node of a kind does at weight 1.
    "cores": {"std-5c": 5},
    "ramp": {"start": 0.1, "answers": 6, "double_ms": 700},
}
