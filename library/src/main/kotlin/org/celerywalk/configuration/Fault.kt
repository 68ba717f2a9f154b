package org.celerywalk.configuration

/**
 * A validation error in a settings file or in the configuration document.
 *
 * @property path location in the file, for example `platform.models[1].weights`.
 * @property given the rejected value or a description of it; secrets are left out, because faults are logged.
 * @property accepted description of the allowed values.
 */
public data class Fault(
    public val file: String,
    public val path: String,
    public val given: String,
    public val accepted: String,
) {
    override fun toString(): String = "$file: $path: given $given, accepted $accepted"
}
