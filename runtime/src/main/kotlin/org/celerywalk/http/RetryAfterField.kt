package org.celerywalk.http

import okhttp3.OkHttpClient
import okhttp3.Response

private const val RETRY_AFTER = "Retry-After"
private const val HIDDEN_RETRY_AFTER = "X-Hidden-Retry-After"

/**
 * Hides the field `Retry-After` of responses from OkHttp, and restores it afterwards.
 *
 * OkHttp would repeat a call after a response 503 with `Retry-After: 0`, and fail on a very large number.
 */
internal fun OkHttpClient.Builder.sendOnceDespiteRetryAfter(): OkHttpClient.Builder =
    addNetworkInterceptor { chain -> chain.proceed(chain.request()).renameField(RETRY_AFTER, HIDDEN_RETRY_AFTER) }
        .addInterceptor { chain -> chain.proceed(chain.request()).renameField(HIDDEN_RETRY_AFTER, RETRY_AFTER) }

private fun Response.renameField(from: String, to: String): Response {
    val values = headers(from)
    if (values.isEmpty()) return this
    return newBuilder().removeHeader(from).apply { values.forEach { addHeader(to, it) } }.build()
}
