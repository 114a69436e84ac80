package org.bramleyspur.traffic

/** Warm-up. */
internal const val WARM_UP = 1
