package org.bramleyspur.traffic

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PlaceholderTest {
    @Test
    fun warm() {
        expectThat(WARM_UP).isEqualTo(1)
    }
}
