package org.bramleyspur.log.storage

/** A failure of the log storage, or of the log that uses it. The log is closed after any of them. */
sealed interface StorageError {
    /** Message for operators, including the remedy. */
    val message: String

    /** Another process uses the data directory. */
    data class Locked(val path: String) : StorageError {
        override val message
            get() = "$path is locked by another process; stop that process or set another data directory"
    }

    /** [file] is damaged at byte [offset], and not by a write that a crash interrupted. */
    data class Damaged(val file: String, val offset: Long, val reason: String) : StorageError {
        override val message
            get() = "$file is damaged at byte $offset ($reason); replace this member: empty its data directory, " +
                "start it, and admit it under its new id in place of the old one"
    }

    /** A write or sync of [file] failed. The page cache may no longer match the disk. */
    data class SyncFailed(val file: String, val cause: String) : StorageError {
        override val message
            get() = "writing or syncing $file failed ($cause); check the disk, then start the process again"
    }

    /** [file] could not be read. */
    data class ReadFailed(val file: String, val cause: String) : StorageError {
        override val message
            get() = "reading $file failed ($cause); check the disk and the permissions of the data directory"
    }

    /**
     * The member failed outside the storage, for instance for want of memory, in the midst of an event. Effects of that
     * event may be missing, so its state in memory must not be used any longer.
     */
    data class MemberFailed(val cause: String) : StorageError {
        override val message
            get() = "the log of this member failed ($cause) and is closed; its state is read from the disk again"
    }

    /** An operation failed in a way that is not expected of a file system. */
    data class Unexpected(val cause: String) : StorageError {
        override val message
            get() = "the log storage failed ($cause); check the disk, then start the process again"
    }
}

/** Carries a [StorageError] to [LogStorage.open] or to the storage queue. */
internal class StorageException(val error: StorageError, cause: Throwable? = null) : Exception(error.message, cause)
