tiers = {
    "home": "z",
    "zones": [{"name": "z", "routers": 1}, {"name": "z", "routers": 1}],
}
