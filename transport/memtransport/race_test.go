package memtransport

// The race detector may crash in testing/synctest bubbles on several processors.
import _ "mulberryscale.example/internal/racelimit"
