package org.celerywalk.gateway

/** Returns settings of a gateway that reaches no other process. */
internal fun testSettings(): GatewaySettings = GatewaySettingsFile.parse(
    """
    { instance: g, data-centre: dc, first-start: true, prefill-tokens-per-ms: 45, peer-port: 4,
      listen: { callers: "127.0.0.1:1", readiness: "127.0.0.1:2", metrics: "127.0.0.1:3" },
      store: "127.0.0.1:1",
      bounds: { key-withdrawal-ms: 2500, stop-grace-s: 8, retry-ratio: 0.2, retry-window-s: 10,
                retry-allowance: 600, order-lease-ms: 3000, weights-deadline-ms: 8000, quota-overage: 0.1 } }
    """.trimIndent(),
).fold({ error(it.joinToString()) }, { it })
