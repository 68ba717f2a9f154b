package org.celerywalk.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file

/** Prints the timeline of one request from the logs of the gateways. */
internal class ExplainCommand : Command(
    "explain",
    "Prints the log events of a request in order of time, with the state changes that may have affected it.",
    "celerywalk explain 9c41d07be2a35f68 gateway-1.log gateway-2.log",
) {
    private val request by argument(help = "Id of the request's attempt")
    private val logs by argument(help = "Log files; default is standard input")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val files = logs.asSequence().flatMap { file -> sequence { file.useLines { yieldAll(it) } } }
        val lines = if (logs.isEmpty()) generateSequence(::readlnOrNull) else files
        val timeline = RequestTimeline.collect(request, lines)
        if (timeline.events.isEmpty()) throw failure(ExitCode.INVALID, "no line of the logs names the request $request")
        print(mapOf("request" to request, "events" to timeline.events.map { it.text })) { timeline.lines() }
    }
}
