package org.bramleyspur.daemon

/** Warm-up. */
internal const val WARM_UP = 1
