package deployment

// With the race detector, testing/synctest bubbles need a single processor.
import _ "mulberryscale.example/internal/racelimit"
