package org.celerywalk.configuration

private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9._-]{0,62}")
private val KEY_ID_PATTERN = Regex("[A-Za-z0-9.-]{1,64}")
private val HASH_PATTERN = Regex("[0-9a-f]{64}")
private val PATH_PATTERN = Regex("/services/[a-z0-9][a-z0-9._/-]{0,126}")
private const val MIN_PIECE_TOKENS = 16
private const val MAX_PIECE_TOKENS = 65_536
private val PIECE_TOKENS_RANGE = MIN_PIECE_TOKENS..MAX_PIECE_TOKENS
private const val MAX_PORT = 65_535
private val PORT_RANGE = 1..MAX_PORT
private const val MAX_TOKENS = 1_000_000_000L
private val TOKENS_RANGE = 1L..MAX_TOKENS

/** Returns all invalid values and broken references between the sections; [file] is the file name in the faults. */
public fun Configuration.faults(file: String): List<Fault> = SectionValidator(file).also {
    it.checkCommercial(this)
    it.checkSecurity(this)
    it.checkDataCentres(platform)
    it.checkModels(platform)
    it.checkServices(platform)
    it.checkEndpoints(platform)
}.faults

/** Returns true if [address] has the form `host:port` with a port between 1 and 65535. */
public fun isAddress(address: String): Boolean {
    val host = address.substringBeforeLast(':', "")
    val port = address.substringAfterLast(':').toIntOrNull()
    return host.isNotEmpty() && host.none { it.isWhitespace() || it == '/' } && port != null && port in PORT_RANGE
}

private class SectionValidator(file: String) : ValueValidator(file) {
    fun checkCommercial(configuration: Configuration) {
        val accounts = configuration.commercial.clientAccounts
        val models = configuration.platform.models.map { it.name }
        checkUnique("commercial.client-accounts", accounts.map { it.name }, "name")
        accounts.forEachIndexed { i, account ->
            val path = "commercial.client-accounts[$i]"
            checkPattern("$path.name", account.name, NAME_PATTERN)
            checkRange("$path.rate-tokens-per-second", account.rateTokensPerSecond, TOKENS_RANGE)
            checkRange("$path.burst-tokens", account.burstTokens, TOKENS_RANGE)
            account.models.forEachIndexed { j, model -> checkReference("$path.models[$j]", model, models) }
        }
    }

    fun checkSecurity(configuration: Configuration) {
        val security = configuration.security
        val accounts = configuration.commercial.clientAccounts.map { it.name }
        checkUnique("security.keys", security.keys.map { it.id }, "id")
        security.keys.forEachIndexed { i, key ->
            checkPattern("security.keys[$i].id", key.id, KEY_ID_PATTERN)
            checkPattern("security.keys[$i].hash", key.hash, HASH_PATTERN)
            // Entries of withdrawn keys stay after the commercial team has removed their client account.
            if (!key.withdrawn) checkReference("security.keys[$i].client-account", key.clientAccount, accounts)
        }
        checkUnique("security.operators", security.operators.map { it.name }, "name")
        security.operators.forEachIndexed { i, operator ->
            checkPattern("security.operators[$i].name", operator.name, NAME_PATTERN)
            checkPattern("security.operators[$i].token-hash", operator.tokenHash, HASH_PATTERN)
        }
    }

    fun checkDataCentres(platform: PlatformSection) {
        checkUnique("platform.data-centres", platform.dataCentres.map { it.name }, "name")
        platform.dataCentres.forEachIndexed { i, dataCentre ->
            checkPattern("platform.data-centres[$i].name", dataCentre.name, NAME_PATTERN)
            checkPattern("platform.data-centres[$i].region", dataCentre.region, NAME_PATTERN)
        }
    }

    fun checkModels(platform: PlatformSection) {
        checkUnique("platform.models", platform.models.map { it.name }, "name")
        platform.models.forEachIndexed { i, model ->
            checkPattern("platform.models[$i].name", model.name, NAME_PATTERN)
            checkPattern("platform.models[$i].weights", model.weights, NAME_PATTERN)
            if (model.pieceTokens !in PIECE_TOKENS_RANGE) {
                addFault("platform.models[$i].piece-tokens", "${model.pieceTokens}", "$PIECE_TOKENS_RANGE")
            }
        }
    }

    fun checkServices(platform: PlatformSection) {
        checkUnique("platform.services", platform.services.map { it.name }, "name")
        checkUnique("platform.services", platform.services.map { it.path }, "path")
        platform.services.forEachIndexed { i, service ->
            checkPattern("platform.services[$i].name", service.name, NAME_PATTERN)
            checkPattern("platform.services[$i].path", service.path, PATH_PATTERN)
            if (service.open && !service.repeatable) {
                // A call that must not be repeated is recorded under its client account, which only a key identifies.
                addFault("platform.services[$i].open", "true", "false, or repeatable: true")
            }
        }
    }

    fun checkEndpoints(platform: PlatformSection) {
        checkUnique("platform.endpoints", platform.endpoints.map { it.name }, "name")
        checkUnique("platform.endpoints", platform.endpoints.map { it.address }, "address")
        val dataCentres = platform.dataCentres.map { it.name }
        val services = platform.services.map { it.name }
        platform.endpoints.forEachIndexed { i, endpoint ->
            val path = "platform.endpoints[$i]"
            checkPattern("$path.name", endpoint.name, NAME_PATTERN)
            checkReference("$path.data-centre", endpoint.dataCentre, dataCentres)
            if (!isAddress(endpoint.address)) addFault("$path.address", endpoint.address, "host:port")
            endpoint.services.forEachIndexed { j, name -> checkReference("$path.services[$j]", name, services) }
            checkReplicas(path, endpoint, platform)
        }
    }

    private fun checkReplicas(path: String, endpoint: EndpointEntry, platform: PlatformSection) {
        val models = platform.models.map { it.name }
        checkUnique("$path.replicas", endpoint.replicas.map { it.name }, "name")
        endpoint.replicas.forEachIndexed { j, replica ->
            checkPattern("$path.replicas[$j].name", replica.name, NAME_PATTERN)
            checkReference("$path.replicas[$j].model", replica.model, models)
        }
    }
}

private open class ValueValidator(private val file: String) {
    val faults = mutableListOf<Fault>()

    fun checkUnique(path: String, values: List<String>, property: String) {
        values.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.forEach {
            addFault(path, "$property $it more than once", "each $property once")
        }
    }

    fun checkPattern(path: String, value: String, pattern: Regex) {
        if (!pattern.matches(value)) addFault(path, "'$value'", "text that matches ${pattern.pattern}")
    }

    fun checkRange(path: String, value: Long, range: LongRange) {
        if (value !in range) addFault(path, "$value", "$range")
    }

    fun checkReference(path: String, value: String, names: List<String>) {
        if (value !in names) {
            addFault(path, "'$value'", names.ifEmpty { listOf("nothing: none is declared") }.joinToString())
        }
    }

    fun addFault(path: String, given: String, accepted: String) {
        faults += Fault(file, path, given, accepted)
    }
}
