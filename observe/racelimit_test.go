package observe

// The race detector and testing/synctest bubbles need a single processor.
import _ "mulberryscale.example/internal/racelimit"
