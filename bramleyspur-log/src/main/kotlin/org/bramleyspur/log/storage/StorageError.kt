package org.bramleyspur.log.storage

/** Why the log storage cannot go on. Every kind is fatal for the process. */
sealed interface StorageError {
    /** Text for operators; names the remedy. */
    val message: String

    /** Another process uses the data folder. */
    data class Locked(val path: String) : StorageError {
        override val message get() = "$path is locked by another process; stop that process or set another data folder"
    }

    /** [file] is damaged at byte [offset], and not by a write that a crash cut short. */
    data class Damaged(val file: String, val offset: Long, val reason: String) : StorageError {
        override val message
            get() = "$file is damaged at byte $offset ($reason); replace this member: empty its data folder, " +
                "start it, and admit it under its new id in place of the old one"
    }

    /** A write or sync of [file] failed. What the page cache holds can no longer be trusted. */
    data class SyncFailed(val file: String, val cause: String) : StorageError {
        override val message
            get() = "writing or syncing $file failed ($cause); check the disk, then start the process again"
    }

    /** [file] could not be read. */
    data class ReadFailed(val file: String, val cause: String) : StorageError {
        override val message get() = "reading $file failed ($cause); check the disk and the rights of the data folder"
    }
}

/** Carries a [StorageError] inside this package. */
internal class StorageFailure(val error: StorageError, cause: Throwable? = null) : Exception(error.message, cause)
