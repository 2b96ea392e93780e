package batch

// Tests with testing/synctest run on one processor under the race detector: on several, the
// detector itself crashes at times.
import _ "mulberryscale.example/internal/racelimit"
