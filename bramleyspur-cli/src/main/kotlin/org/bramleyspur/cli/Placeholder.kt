package org.bramleyspur.cli

/** Warm-up. */
internal const val WARM_UP = 1
