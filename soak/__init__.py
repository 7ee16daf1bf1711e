"""A seeded run of real gateways before replicas that break streams off, with checks of ORDER."""
