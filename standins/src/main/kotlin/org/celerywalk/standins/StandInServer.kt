package org.celerywalk.standins

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.PropertyNamingStrategies
import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.json.JavalinJackson
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** JSON mapper of the stand-ins: snake-case field names; unknown fields are ignored. */
public val standInJson: ObjectMapper = jacksonObjectMapper()
    .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)

/**
 * Fake of an external service, for tests and demos.
 *
 * It serves HTTP on the loopback address from its construction until it is closed.
 */
public interface StandIn : AutoCloseable {
    /** TCP port that the stand-in listens on. */
    public val port: Int

    /** Base URL without a trailing slash. */
    public val url: String get() = "http://$LOOPBACK:$port"
}

/** Starts an HTTP server on the loopback address at [port]; 0 picks a free port. */
internal fun startServer(port: Int, configure: (JavalinConfig) -> Unit): Javalin = Javalin.create { config ->
    config.startup.showJavalinBanner = false
    config.http.compressionStrategy = CompressionStrategy.NONE
    config.http.maxRequestSize = MAX_REQUEST_BODY_BYTES
    config.jetty.threadPool = QueuedThreadPool(MAX_THREADS).apply { isDaemon = true }
    config.jsonMapper(JavalinJackson(standInJson, false))
    configure(config)
}.start(LOOPBACK, port)

/** Closes the client's connection without sending a response or the remainder of one. */
internal fun Context.abortConnection() {
    ServletContextRequest.getServletContextRequest(req()).connectionMetaData.connection.endPoint.close()
}

/** Returns a copy of [current] with the top-level fields of the JSON object [fields] replaced. */
internal inline fun <reified T : Any> mergeJsonFields(current: T, fields: String): T {
    val tree = standInJson.valueToTree<ObjectNode>(current)
    tree.setAll<ObjectNode>(standInJson.readTree(fields) as ObjectNode)
    return standInJson.treeToValue(tree, T::class.java)
}

private const val LOOPBACK = "127.0.0.1"
private const val MAX_REQUEST_BODY_BYTES = 64L * 1024 * 1024

// Each open stream and each delayed response holds one thread of the stand-in.
private const val MAX_THREADS = 2048
