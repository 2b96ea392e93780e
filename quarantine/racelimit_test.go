package quarantine

// The race detector and bubbles of testing/synctest need one processor.
import _ "mulberryscale.example/internal/racelimit"
