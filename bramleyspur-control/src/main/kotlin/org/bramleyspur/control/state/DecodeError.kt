package org.bramleyspur.control.state

/** Bytes of the log or of a snapshot that could not be read; the [message] names the remedy. */
data class DecodeError(val message: String)
