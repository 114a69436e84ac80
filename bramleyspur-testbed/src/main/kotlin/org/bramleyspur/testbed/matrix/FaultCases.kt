/*
 * The fault cases, in the order in which they run.
 */
package org.bramleyspur.testbed.matrix

internal val FAULT_CASES: List<FaultCase> = STREAM_CASES + CALL_CASES + CONTROL_CASES + LINK_CASES
