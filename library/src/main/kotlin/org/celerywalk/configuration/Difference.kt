package org.celerywalk.configuration

/**
 * Lists the entries that differ between [base] and [target], one per line: `+` added, `-` removed, `~` changed.
 *
 * Hashes are masked, because the difference is shown to operators and stored in the audit trail.
 */
public fun difference(base: Configuration?, target: Configuration): List<String> = listOf(
    diffEntries("client-account", base?.commercial?.clientAccounts, target.commercial.clientAccounts) { it.name },
    diffEntries("key", base?.security?.keys, target.security.keys) { it.id },
    diffEntries("operator", base?.security?.operators, target.security.operators) { it.name },
    diffEntries("data-centre", base?.platform?.dataCentres, target.platform.dataCentres) { it.name },
    diffEntries("model", base?.platform?.models, target.platform.models) { it.name },
    diffEntries("service", base?.platform?.services, target.platform.services) { it.name },
    diffEntries("endpoint", base?.platform?.endpoints, target.platform.endpoints) { it.name },
).flatten()

private val HASH_PROPERTY = Regex("(hash|tokenHash)=[0-9a-f]+")

private fun <T> diffEntries(
    kind: String,
    baseEntries: List<T>?,
    targetEntries: List<T>,
    keyOf: (T) -> String,
): List<String> {
    val oldEntries = baseEntries.orEmpty().associateBy(keyOf)
    val newEntries = targetEntries.associateBy(keyOf)
    return (oldEntries.keys + newEntries.keys).mapNotNull { key ->
        val oldEntry = oldEntries[key]
        val newEntry = newEntries[key]
        when {
            oldEntry == newEntry -> null
            oldEntry == null -> "+ $kind $key: ${formatEntry(newEntry)}"
            newEntry == null -> "- $kind $key"
            else -> "~ $kind $key: ${formatEntry(oldEntry)} -> ${formatEntry(newEntry)}"
        }
    }
}

private fun <T> formatEntry(entry: T): String = HASH_PROPERTY.replace("$entry") { "${it.groupValues[1]}=…" }
    .substringAfter('(').removeSuffix(")")
