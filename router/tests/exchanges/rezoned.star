# Both db nodes stand in zone z, and so does this router.
tiers = {"home": "z", "zones": [{"name": "z", "routers": 1}, {"name": "y", "routers": 1}]}
