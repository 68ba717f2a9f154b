package org.celerywalk.entry

import java.util.concurrent.ThreadFactory
import java.util.concurrent.atomic.AtomicInteger

/** Creates a factory of daemon threads named `{name}-{number}`, numbered from 1. */
internal fun daemonThreadFactory(name: String): ThreadFactory {
    val number = AtomicInteger()
    return ThreadFactory { task -> Thread(task, "$name-${number.incrementAndGet()}").apply { isDaemon = true } }
}
