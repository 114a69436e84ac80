/*
 * The rows of the matrix, in the order in which they run.
 */
package org.bramleyspur.testbed.matrix

/** All rows. */
internal val ROWS: List<Row> = STREAM_ROWS + CALL_ROWS + CONTROL_ROWS + LINK_ROWS
