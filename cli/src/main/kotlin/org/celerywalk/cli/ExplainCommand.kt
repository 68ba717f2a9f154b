package org.celerywalk.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file

/** Prints the story of one request from the logs of gateways. */
internal class ExplainCommand : Command(
    "explain",
    "Prints what gateways logged about a request, in order, with the changes of belief that may have caused it.",
    "celerywalk explain 9c41d07be2a35f68 gateway-1.log gateway-2.log",
) {
    private val request by argument(help = "Id of the request's attempt")
    private val logs by argument(help = "Log files; standard input if none is given")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val files = logs.asSequence().flatMap { it.readLines() }
        val lines = if (logs.isEmpty()) generateSequence(::readlnOrNull) else files
        val story = RequestStory.of(request, lines)
        if (story.events.isEmpty()) throw failure(ExitCode.INVALID, "no line of the logs names the request $request")
        print(mapOf("request" to request, "events" to story.events.map { it.text })) { story.lines() }
    }
}
