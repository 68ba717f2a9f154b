package org.celerywalk.settings

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import org.celerywalk.configuration.Fault
import kotlin.reflect.KClass
import kotlin.reflect.KParameter
import kotlin.reflect.KType
import kotlin.reflect.full.isSubclassOf
import kotlin.reflect.full.primaryConstructor
import kotlin.time.Duration

/**
 * Reads YAML into data classes and collects all faults instead of stopping at the first.
 *
 * Keys are the property names in kebab case or snake case. Unknown and duplicate keys are faults.
 */
internal class StrictReader(private val file: String) {
    val faults = mutableListOf<Fault>()

    /** Parses [yaml]. If it is malformed, records a fault with [path] and returns null. */
    fun parse(yaml: String, path: String): JsonNode? = try {
        MAPPER.readTree(yaml)
    } catch (e: JsonProcessingException) {
        val place = e.location?.let { "line ${it.lineNr}, column ${it.columnNr}" } ?: "unknown place"
        addFault(path, "$place: ${e.originalMessage.lineSequence().first()}", "well-formed YAML")
        null
    }

    /** Converts [node] to [type], or returns null if there are faults. A missing or empty node is an empty mapping. */
    fun <T : Any> read(node: JsonNode?, path: String, type: KClass<T>): T? {
        val previousFaultCount = faults.size
        val mapping = if (node == null || node.isMissingNode || node.isNull) MAPPER.createObjectNode() else node
        val value = readObject(mapping, path, type)
        @Suppress("UNCHECKED_CAST") // readObject returns an instance of the given class.
        return if (faults.size == previousFaultCount) value as T? else null
    }

    private fun readObject(node: JsonNode, path: String, type: KClass<*>): Any? {
        val constructor = checkNotNull(type.primaryConstructor) { "$type has no primary constructor" }
        val parameters = constructor.parameters.associateBy { toKebabCase(it.name.orEmpty()) }
        if (!node.isObject) {
            addFault(path, describe(node), "a mapping with the keys ${parameters.keys.joinToString()}")
            return null
        }
        val fields = collectFields(node, path, parameters)
        val previousFaultCount = faults.size
        val arguments = mutableMapOf<KParameter, Any?>()
        parameters.forEach { (name, parameter) ->
            val value = fields[name]
            val isAbsent = value == null || value.isNull
            when {
                !isAbsent ->
                    arguments[parameter] = readValue(checkNotNull(value), childPath(path, name), parameter.type)
                !parameter.isOptional -> addFault(childPath(path, name), "nothing", acceptedValues(parameter.type))
            }
        }
        return if (faults.size == previousFaultCount) constructor.callBy(arguments) else null
    }

    private fun collectFields(
        node: JsonNode,
        path: String,
        parameters: Map<String, KParameter>,
    ): Map<String, JsonNode> {
        val fields = mutableMapOf<String, JsonNode>()
        node.properties().forEach { (key, value) ->
            val name = key.replace('_', '-')
            when {
                name !in parameters ->
                    addFault(childPath(path, key), "an unknown key", "the keys ${parameters.keys.joinToString()}")
                name in fields -> addFault(childPath(path, key), "a repeated key", "each key once")
                else -> fields[name] = value
            }
        }
        return fields
    }

    private fun readValue(node: JsonNode, path: String, type: KType): Any? {
        val target = type.classifier as KClass<*>
        return when {
            target == List::class -> readList(node, path, type)
            target.isSubclassOf(Enum::class) -> readEnum(node, path, target)
            target.isData -> readObject(node, path, target)
            else -> readScalar(node, target)
                .also { if (it == null) addFault(path, describe(node), acceptedValues(type)) }
        }
    }

    private fun readScalar(node: JsonNode, target: KClass<*>): Any? = when (target) {
        String::class -> if (node.isTextual) node.textValue() else null
        Boolean::class -> if (node.isBoolean) node.booleanValue() else null
        Int::class -> if (node.canConvertToInt() && node.isIntegralNumber) node.intValue() else null
        Long::class -> if (node.canConvertToLong() && node.isIntegralNumber) node.longValue() else null
        Duration::class -> if (node.isTextual) Duration.parseOrNull(node.textValue()) else null
        else -> error("settings cannot hold values of $target")
    }

    private fun readList(node: JsonNode, path: String, type: KType): List<Any?> {
        if (!node.isArray) addFault(path, describe(node), "a list")
        val element = checkNotNull(type.arguments.single().type)
        return node.mapIndexed { i, item -> readValue(item, "$path[$i]", element) }
    }

    private fun readEnum(node: JsonNode, path: String, target: KClass<*>): Any? {
        val values = enumValues(target)
        val value = values[node.takeIf { it.isTextual }?.textValue()]
        if (value == null) addFault(path, describe(node), values.keys.joinToString())
        return value
    }

    private fun addFault(path: String, given: String, accepted: String) {
        faults += Fault(file, path.ifEmpty { "(document)" }, given, accepted)
    }

    private companion object {
        val MAPPER: YAMLMapper = YAMLMapper.builder(YAMLFactory())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build()
    }
}

/** Converts camel case to kebab case: `rateTokensPerSecond` to `rate-tokens-per-second`. */
internal fun toKebabCase(name: String): String = name.replace(Regex("[A-Z]")) { "-" + it.value.lowercase() }

private fun childPath(path: String, name: String) = if (path.isEmpty()) name else "$path.$name"

private fun enumValues(type: KClass<*>): Map<String, Any> =
    type.java.enumConstants.associateBy { (it as Enum<*>).name.lowercase().replace('_', '-') }

private fun describe(node: JsonNode) = when {
    node.isObject -> "a mapping"
    node.isArray -> "a list"
    node.isTextual -> "'${node.textValue()}'"
    else -> "$node"
}

private fun acceptedValues(type: KType): String {
    val target = type.classifier as KClass<*>
    return when {
        target == String::class -> "text (quote a number that is meant as text)"
        target == Boolean::class -> "true or false"
        target == Int::class || target == Long::class -> "a whole number"
        target == Duration::class -> "a duration such as 500ms, 5s, 10m or 2h"
        target == List::class -> "a list"
        target.isSubclassOf(Enum::class) -> enumValues(target).keys.joinToString()
        else -> "a mapping"
    }
}
