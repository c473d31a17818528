# Now it stands in zone y, which has no db nodes, and may use nothing of z.
tiers = {"home": "y", "spill": 0, "zones": [{"name": "z", "routers": 1}, {"name": "y", "routers": 1}]}
