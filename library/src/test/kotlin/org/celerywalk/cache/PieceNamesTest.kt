package org.celerywalk.cache

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a cache hit for an unequal prefix, or across client accounts, models or weights. */
class PieceNamesTest {
    private val names = PieceNames("kyushu", "m", "w1", pieceTokens = 2)

    @Test
    fun `prompts share piece names up to the first piece that differs`() {
        val first = names.forPrompt("aaaaaaaabbbbbbbbcccccccc")
        val second = names.forPrompt("aaaaaaaabbbbbbbbxxxxxxxxyyy")
        assertEquals(3, second.size, "the incomplete last piece has no name")
        assertEquals(first.take(2), second.take(2))
        assertTrue(first[2] != second[2])
    }

    @Test
    fun `the names of a whole prompt include its incomplete last piece`() {
        val prompt = "aaaaaaaabbbbbbbbcc"
        val wholeNames = names.forWholePrompt(prompt)
        assertEquals(3, wholeNames.size)
        assertEquals(names.forPrompt(prompt), wholeNames.take(2))
        assertTrue(wholeNames.last() != names.forWholePrompt("aaaaaaaabbbbbbbbc").last())
        assertEquals(names.forPrompt("aaaaaaaa"), names.forWholePrompt("aaaaaaaa"))
        assertEquals(emptyList(), names.forWholePrompt(""))
    }

    @Test
    fun `equal prompts for different accounts, models or weights share no piece name`() {
        val prompt = "a".repeat(64)
        val others = listOf(
            PieceNames("kyush", "um", "w1", 2),
            PieceNames("other", "m", "w1", 2),
            PieceNames("kyushu", "m", "w2", 2),
        )
        val all = (others + names).flatMap { it.forPrompt(prompt) }
        assertEquals(all.size, all.toSet().size)
    }
}
