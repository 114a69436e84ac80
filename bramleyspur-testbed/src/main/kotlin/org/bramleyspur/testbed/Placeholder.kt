package org.bramleyspur.testbed

/** Warm-up. */
internal const val WARM_UP = 1
