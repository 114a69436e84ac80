package org.bramleyspur.control

/** Warm-up. */
internal const val WARM_UP = 1
