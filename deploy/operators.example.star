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

# Routers that know each other, and the fleet's work done by one of them at a time. Both are off unless set; `duties` needs
# `peers`. Take the signs away and set your own addresses, alike at all routers but for `listen` and `file`.
#
# peers = {
#     "listen": "10.0.1.10:7400",  # where this router takes datagrams; `advertise` if others reach it elsewhere
#     "key_file": "peers.key",  # mode 600, alike at all
#     "rules": {"installation": "hcm", "seeds": ["10.0.1.10:7400", "10.0.2.10:7400", "10.0.3.10:7400"]},
# }
# duties = {
#     "rules": {
#         # Three routers that vote, one in each zone, or five. Each change of them raises the generation by one, with the
#         # former ones in `before`.
#         "deciders": {"generation": 1, "members": [
#             {"name": "router-a", "address": "10.0.1.10:7400"},
#             {"name": "router-b", "address": "10.0.2.10:7400"},
#             {"name": "router-c", "address": "10.0.3.10:7400"},
#         ]},
#         "lease_ms": 30000,  # what a killed owner did is not done for about so long; routers do it themselves meanwhile
#     },
#     "file": "/var/lib/plovercove/duties.kept",  # at deciders only: on a disk that outlives the process, one for each
#     "watch_ms": 500,  # how often the owner of a group asks its nodes for positions
# }
