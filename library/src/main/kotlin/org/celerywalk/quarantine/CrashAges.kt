package org.celerywalk.quarantine

import kotlin.time.Duration

/**
 * Times that bound the crash of an endpoint under a request.
 *
 * @property sinceLoss time since the loss of the request's connection was noticed; the endpoint had crashed by then.
 * @property sinceAlive time since the endpoint was last known to be alive, as when it accepted the connection.
 */
public data class CrashAges(val sinceLoss: Duration, val sinceAlive: Duration = sinceLoss)
