package org.celerywalk.cli

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands

/** Creates the `celerywalk` command with all its subcommands. */
public fun celerywalk(): NoOpCliktCommand = CommandGroup(
    name = "celerywalk",
    help = "Operates celerywalk, a router for language-model traffic.",
    epilog = "Exit codes:\n\n${ExitCode.entries.joinToString("\n\n") { "${it.code}: ${it.meaning}" }}",
).subcommands(
    CommandGroup("config", "Checks, plans, applies and shows the configuration.").subcommands(
        ConfigCheck(),
        ConfigPlan(),
        ConfigApply(),
        ConfigShow(),
        ConfigHistory(),
    ),
    CommandGroup("fleet", "Checks the configuration of a fleet with gateways.").subcommands(FleetCheck()),
    CommandGroup("key", "Issues and withdraws API keys.").subcommands(KeyIssue(), KeyWithdraw()),
    CommandGroup("token", "Creates operator tokens.").subcommands(TokenCreate()),
    CommandGroup("endpoint", "Lists and drains endpoints.").subcommands(EndpointList(), EndpointDrain()),
    EntryCommand(),
    AgentCommand(),
    ExplainCommand(),
    CompletionCommand(help = "Prints a script for shell completion, for example: celerywalk generate-completion bash"),
)

private class CommandGroup(
    name: String,
    private val help: String,
    private val epilog: String = "",
) : NoOpCliktCommand(name) {
    override fun help(context: Context): String = help

    override fun helpEpilog(context: Context): String = epilog
}
