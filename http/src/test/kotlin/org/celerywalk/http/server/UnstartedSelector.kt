package org.celerywalk.http.server

import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SelectorManager
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/** What an end point needs in a test that decides itself when bytes can be read: a selector that never runs. */
public class UnstartedSelector {
    public val scheduler: Scheduler = ScheduledExecutorScheduler()
    public val selector: ManagedSelector = ManagedSelector(Manager(scheduler), 0)
    public val key: SelectionKey = UnregisteredKey

    private class Manager(scheduler: Scheduler) : SelectorManager(Runnable::run, scheduler, 1) {
        override fun newEndPoint(channel: SelectableChannel, selector: ManagedSelector, key: SelectionKey): EndPoint =
            throw UnsupportedOperationException("the end point is created by the test")

        override fun newConnection(channel: SelectableChannel, endPoint: EndPoint, attachment: Any?): Connection =
            throw UnsupportedOperationException("the end point has no connection")
    }

    private object UnregisteredKey : SelectionKey() {
        override fun channel(): SelectableChannel = throw UnsupportedOperationException("the key has no channel")

        override fun selector(): Selector = throw UnsupportedOperationException("the key has no selector")

        override fun isValid(): Boolean = true

        override fun cancel() = Unit

        override fun interestOps(): Int = 0

        override fun interestOps(ops: Int): SelectionKey = this

        override fun readyOps(): Int = 0
    }
}
