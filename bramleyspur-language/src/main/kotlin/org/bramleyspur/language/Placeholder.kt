package org.bramleyspur.language

/** Warm-up. */
internal const val WARM_UP = 1
