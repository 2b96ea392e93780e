package swapexperiment

// Under the race detector, testing/synctest bubbles must run on a single processor.
import _ "mulberryscale.example/internal/racelimit"
