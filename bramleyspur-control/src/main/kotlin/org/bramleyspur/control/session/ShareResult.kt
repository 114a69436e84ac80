package org.bramleyspur.control.session

/** The new state and the shares of one entry, by account. */
internal data class ShareResult(val state: SessionState, val shares: Map<String, Int>)
