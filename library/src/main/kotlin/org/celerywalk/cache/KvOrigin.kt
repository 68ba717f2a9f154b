package org.celerywalk.cache

/**
 * Client account, model and weights for which exported KV cache was computed.
 *
 * An export may be imported only for an equal origin. Equal piece names do not suffice, because an import writes into
 * the engine's cache.
 */
public data class KvOrigin(
    public val clientAccount: String,
    public val model: String,
    public val weights: String,
)

/**
 * Returns true if exported KV cache may be imported.
 *
 * @param beforeExport origin by the exporting engine's status before the export.
 * @param afterExport origin by its status after the export; if the weights changed in between, the export is unusable.
 * @param importTarget origin by the importing engine's current status, for the request's own client account.
 */
public fun mayImport(beforeExport: KvOrigin, afterExport: KvOrigin, importTarget: KvOrigin): Boolean =
    beforeExport == afterExport && beforeExport == importTarget
