package org.bramleyspur.log

/** Warm-up. */
internal const val WARM_UP = 1
