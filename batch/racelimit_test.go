package batch

// On several processors the race detector crashes at times in tests with testing/synctest.
import _ "mulberryscale.example/internal/racelimit"
