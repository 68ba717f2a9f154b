package org.celerywalk.cache

/** Part of a prompt, [tokens] tokens long. Requests whose prompts contain the same part give it the same [id]. */
public data class PromptPart(val id: String, val tokens: Int)
