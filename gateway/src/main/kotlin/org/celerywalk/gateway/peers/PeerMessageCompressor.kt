package org.celerywalk.gateway.peers

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * Compresses messages between gateways, most of which go to other data centres.
 *
 * The dictionary holds what nearly every message repeats. Not safe for use from several threads.
 */
internal class PeerMessageCompressor : AutoCloseable {
    private val deflater = Deflater(Deflater.BEST_SPEED, true)
    private val inflater = Inflater(true)
    private val buffer = ByteArray(BUFFER_BYTES)

    /** Returns [message] in compressed form. */
    fun compress(message: ByteArray): ByteArray {
        deflater.reset()
        deflater.setDictionary(DICTIONARY)
        deflater.setInput(message)
        deflater.finish()
        val output = ByteArrayOutputStream()
        while (!deflater.finished()) output.write(buffer, 0, deflater.deflate(buffer))
        return output.toByteArray()
    }

    /**
     * Returns the message whose compressed form are the first [length] bytes of [bytes].
     *
     * @throws DataFormatException if they are no compressed message, or one of more than [MAX_MESSAGE_BYTES] bytes.
     */
    fun decompress(bytes: ByteArray, length: Int): ByteArray {
        inflater.reset()
        inflater.setDictionary(DICTIONARY)
        inflater.setInput(bytes, 0, length)
        val output = ByteArrayOutputStream()
        while (!inflater.finished()) {
            val count = inflater.inflate(buffer)
            if (count == 0 && !inflater.finished()) throw DataFormatException("the message is incomplete")
            output.write(buffer, 0, count)
            if (output.size() > MAX_MESSAGE_BYTES) throw DataFormatException("more than $MAX_MESSAGE_BYTES bytes")
        }
        return output.toByteArray()
    }

    override fun close() {
        deflater.end()
        inflater.end()
    }

    companion object {
        /** Largest size of a message before its compression. */
        const val MAX_MESSAGE_BYTES = 512 * 1024
        private const val BUFFER_BYTES = 8 * 1024

        // Gateways with different dictionaries can't read each other's messages.
        private val DICTIONARY = (
            """{"crashes":{"answered":"tried":"suspects":{"caches":{"placed":[["weight-ages":{"ejected":["i-""" +
                """"changing":["versions":{"quotas":{"confirmed":"configuration":"heard":{"lease":true""" +
                """"leaving":[["i-","partial":true,"work":{"i-":[1,0,"i-":[2,{"name":"edge-","number":"""
            ).toByteArray()
    }
}
